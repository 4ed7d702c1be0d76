package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// invalidRequest is a request that a server rejects, and the answer that it must give.
type invalidRequest struct {
	method, path, body string
	wantStatus         int
	wantText           string // contained in the answer's only line
}

// invalidRequests returns requests that the only server of a cluster, whose name is given, rejects. The
// cluster must have one registration: s, with the instance that started at 5 ms.
func invalidRequests(onlyServer string) []invalidRequest {
	valid := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	return []invalidRequest{
		{"PUT", "/v1/servers/x", "{", 400, "body: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"site"`, `"sight"`, 1), 400, "sight"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"ready"`, `"fine"`, 1), 400, "health: unknown word"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"ready"`, `"gone"`, 1), 400, "health: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `127.0.0.1:9"`, `nowhere"`, 1), 400, "dial: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"share":1`, `"share":-1`, 1), 400, "share: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"born_ms":5`, `"born_ms":0.5`, 1), 400, "born_ms: "},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"x"`, `"y"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/x", valid + valid, 400, "more than one value"},
		{"PUT", "/v1/servers/x", strings.Replace(valid, `"a"`, `"`+strings.Repeat("a", 70_000)+`"`, 1), 400, "too large"},
		{"PUT", "/v1/servers/%0a", strings.Replace(valid, `"x"`, `"\n"`, 1), 400, "host: "},
		{"PUT", "/v1/servers/s", strings.Replace(strings.Replace(valid, `"x"`, `"s"`, 1), `"born_ms":5`, `"born_ms":4`, 1), 409, "superseded: "},
		{"PATCH", "/v1/servers/s", "{}", 400, "neither"},
		{"PATCH", "/v1/servers/s", `{"health":"odd"}`, 400, "health: "},
		{"PATCH", "/v1/servers/s", `{"share":2,"if":1}`, 412, "conflict: "},
		{"PATCH", "/v1/servers/none", `{"share":2}`, 404, "unknown: "},
		{"DELETE", "/v1/servers/s", "", 400, "born_ms: "},
		{"DELETE", "/v1/servers/s?born_ms=4", "", 409, "superseded: "},
		{"POST", "/v1/servers/s/drain?born_ms=6", "", 404, "unknown: "},
		{"POST", "/v1/renewals", `{"refs":[` + strings.Repeat(`{"name":"a","born_ms":1},`, 2000) + `{"name":"a","born_ms":1}]}`, 400, "refs: "},
		{"PUT", "/v1/snapshot", `{"form":99}`, 400, "form 99"},
		{"PUT", "/v1/snapshot", `{"form":1,"entries":{"a":null}}`, 400, "not itself"},
		{"PUT", "/v1/peers/nobody", "", 400, "not in the leader's table"},
		{"DELETE", "/v1/peers/" + onlyServer, "", 400, "only one"},
		{"POST", "/v1/seen", `{"seq":4503599627370496}`, 400, "seq: "},
		{"GET", "/v1/endpoints?follow=1&since=old", "", 400, "since: "},
		{"GET", "/v1/endpoints?follow=1&since=-3", "", 400, "since: "},
		{"GET", "/v1/servers/none", "", 404, "no server"},
		{"POST", "/v1/endpoints", "", 405, "Method"},
	}
}

// An invalid request is answered with one line and a status 4xx, and changes nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	cluster.register("s", 5)
	before, _ := cluster.status(name)
	for _, request := range invalidRequests(name) {
		requireRejected(t, cluster.servers[name].http, request)
	}
	after, err := cluster.status(name)
	if err != nil || after.Seq != before.Seq || after.Listed != 1 {
		t.Errorf("invalid requests changed the state: %+v after %+v, %v", after, before, err)
	}
	if after, err = cluster.status(name); err != nil || after.State != "leader" {
		t.Errorf("after invalid requests: %+v %v", after, err)
	}
}

// requireRejected sends an invalid request to a server, and requires the status and the line that the
// request specifies as its answer. It fails the test at once if the server doesn't answer.
func requireRejected(t *testing.T, addr string, request invalidRequest) {
	t.Helper()
	req, err := http.NewRequest(request.method, "http://"+addr+request.path, strings.NewReader(request.body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // a server may reset the connection of a body that is too large
	if resp.StatusCode != request.wantStatus || !isOneLineWith(string(text), request.wantText) {
		t.Errorf("%s %s %.80s: %d %q, want %d and one line with %q", request.method, request.path, request.body, resp.StatusCode, text, request.wantStatus, request.wantText)
	}
}
