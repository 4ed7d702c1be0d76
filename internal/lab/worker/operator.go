package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"time"

	"knotrouter/internal/lab/check"
)

// operationPath is the HTTP path at which the lab's servers accept operations.
const operationPath = "/admin/act"

// operationSender sends operations under leased tasks. It is safe for concurrent use.
type operationSender struct {
	worker    string // the worker's name, sent with each operation
	addresses []string
	client    *http.Client
}

// run sends operations under a task, with the task's fencing token, until the context ends. An
// operation that is rejected or gets no response is not retried; the next one follows. run returns an
// error if the machine's clock can't be read.
func (o *operationSender) run(ctx context.Context, task string, fencingToken int64) error {
	url := "http://" + o.addressOf(task) + operationPath
	for ctx.Err() == nil {
		now, err := Monotonic()
		if err != nil {
			return err
		}
		// The context, which ends with the lease, is checked after the clock was read. So the lease was
		// still valid at the time that the operation reports.
		if ctx.Err() != nil {
			return nil
		}
		body, err := json.Marshal(check.Operation{Task: task, Process: o.worker, Fence: fencingToken, Mono: now})
		if err != nil {
			return err
		}
		if resp, err := o.client.Post(url, "application/json", bytes.NewReader(body)); err == nil {
			resp.Body.Close()
		}
		time.Sleep(operationInterval)
	}
	return nil
}

// addressOf returns the address that a task's operations are sent to. All workers with the same list of
// addresses choose the same address for a task.
func (o *operationSender) addressOf(task string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(task))
	return o.addresses[int(hash.Sum32()>>8)%len(o.addresses)]
}
