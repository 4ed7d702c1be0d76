package control

import (
	"maps"
	"net/http"
	"slices"

	"knotrouter/internal/catalog"
)

// Handlers that show the replicated state to operators copy the values of the answer while the state
// is locked, and encode the copies after it has been unlocked, so that commands don't wait for the
// encoding.

// stateTable selects one table of the replicated state.
type stateTable[T any] func(*catalog.State) map[string]*T

func entryTable(state *catalog.State) map[string]*catalog.Entry     { return state.Entries }
func taskTable(state *catalog.State) map[string]*catalog.LeasedTask { return state.LeasedTasks }
func sessionTable(state *catalog.State) map[string]*catalog.Session { return state.Sessions }

// shallowCopy copies a value whose slices the state never changes in place.
func shallowCopy[T any](v *T) T { return *v }

// copyTask copies a leased task with its history, which the state shifts in place.
func copyTask(task *catalog.LeasedTask) catalog.LeasedTask {
	c := *task
	c.History = slices.Clone(task.History)
	return c
}

// copyAll returns copies of all values of a table, sorted by name. It never returns nil, which would
// be encoded as null.
func copyAll[T any](f *fsm, table stateTable[T], clone func(*T) T) []T {
	all := []T{}
	f.read(func(state *catalog.State) {
		byName := table(state)
		for _, name := range slices.Sorted(maps.Keys(byName)) {
			all = append(all, clone(byName[name]))
		}
	})
	return all
}

// copyOne returns a copy of the value with the given name, or nil if the table has none.
func copyOne[T any](f *fsm, table stateTable[T], name string, clone func(*T) T) (found *T) {
	f.read(func(state *catalog.State) {
		if v := table(state)[name]; v != nil {
			c := clone(v)
			found = &c
		}
	})
	return found
}

// writeJSONOrNotFound answers with the value, or with status 404 and the given text if it is nil.
func writeJSONOrNotFound[T any](w http.ResponseWriter, v *T, notFound string) {
	if v == nil {
		http.Error(w, notFound, http.StatusNotFound)
		return
	}
	writeJSON(w, v)
}
