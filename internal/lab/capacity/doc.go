// Package capacity estimates from measured results what resources each part of the system needs at the
// fleet size that the project is designed for, and generates the tables of docs/CAPACITY.md.
//
// Its inputs are docs/capacity/*.json (Results, written by scale runs and by the cost measurement)
// and docs/capacity/target.toml (Target). The steps:
//
//   - ReadInputs reads the target and all results, which form a Dataset.
//   - Dataset.Series collects the measured values of one metric of one role under one load and fits a
//     straight line over the fleet's size (FitLine).
//   - Series.At estimates the value at a size: measured, fitted, extrapolated or unknown.
//   - roles lists the parts of the system with their figures and limits. Tables generates the tables
//     from it; see tables.go, roletables.go, placement.go, order.go, comparison.go and derived.go.
//   - Render puts the tables between the markers of the page; OutdatedTable finds an outdated one.
//
// Experiments may have results of two variants, Before and After a mechanism was built. All tables
// show the latest variant; the comparison and the columns "before the last mechanism" show both.
package capacity
