package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// An invalid request is answered with one line and a status 4xx, and changes nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	cluster := newCluster(t, 1)
	name := cluster.names[0]
	base := "http://" + cluster.servers[name].http
	cluster.register("s", 5)
	before, _ := cluster.status(name)
	valid := `{"host":"x","dial":"127.0.0.1:9","site":"a","class":"k","block":0,"health":"ready","share":1,"born_ms":5}`
	for _, test := range []struct {
		method, path, body string
		status             int
		wantText           string
	}{
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
		{"DELETE", "/v1/peers/" + name, "", 400, "only one"},
		{"POST", "/v1/seen", `{"seq":4503599627370496}`, 400, "seq: "},
		{"GET", "/v1/endpoints?follow=1&since=old", "", 400, "since: "},
		{"GET", "/v1/endpoints?follow=1&since=-3", "", 400, "since: "},
		{"GET", "/v1/servers/none", "", 404, "no server"},
		{"POST", "/v1/endpoints", "", 405, "Method"},
	} {
		req, err := http.NewRequest(test.method, base+test.path, strings.NewReader(test.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body) // a server may reset the connection of a body that is too large
		resp.Body.Close()
		if resp.StatusCode != test.status || !isOneLineWith(string(text), test.wantText) {
			t.Errorf("%s %s %.80s: %d %q, want %d and one line with %q", test.method, test.path, test.body, resp.StatusCode, text, test.status, test.wantText)
		}
	}
	after, err := cluster.status(name)
	if err != nil || after.Seq != before.Seq || after.Listed != 1 {
		t.Errorf("invalid requests changed the state: %+v after %+v, %v", after, before, err)
	}
	if after, err = cluster.status(name); err != nil || after.State != "leader" {
		t.Errorf("after invalid requests: %+v %v", after, err)
	}
}
