// Package capacity computes what each part of the system needs at the size of the fleet that the
// project is designed for, from measured results, and writes the tables of docs/CAPACITY.md.
//
// Its inputs are docs/capacity/*.json (Results, written by scale runs and by the cost measurement)
// and docs/capacity/target.toml (Target). The steps:
//
//   - ReadInputs reads both; a Dataset is all results together.
//   - Dataset.Series gathers the measured values of one metric of one role under one load and fits a
//     straight line over the fleet's size (FitLine).
//   - Series.At estimates the value at a size: measured, fitted, extrapolated or unknown.
//   - roles lists the parts of the system with their figures and limits. The tables are made from it:
//     Tables in tables.go, placement.go, order.go and derived.go.
//   - Render puts the tables between the markers of the page; OutdatedTable finds an outdated one.
//
// Experiments may have results of two variants, Before and After a mechanism was built. All tables
// show the latest variant; the comparison and the columns "before the last mechanism" show both.
package capacity
