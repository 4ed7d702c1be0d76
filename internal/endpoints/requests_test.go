package endpoints

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// A client without services sends, byte for byte, the same requests as clients of releases without
// services. A client with services only adds the query parameter.
func TestRequestsOnTheWire(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	rawRequests := make(chan string, 10)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			var text strings.Builder
			for lines := bufio.NewReader(conn); !strings.HasSuffix(text.String(), "\r\n\r\n"); {
				line, err := lines.ReadString('\n')
				if err != nil {
					break
				}
				text.WriteString(line)
			}
			rawRequests <- text.String()
			body := `{"seq":7,"whole":true,"hosts":[]}` + "\n"
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			conn.Close()
		}
	}()
	addr := ln.Addr().String()
	for _, c := range []struct {
		services     []string
		fetch, watch string
	}{
		{nil, "/v1/endpoints", "/v1/endpoints?follow=1&since=5"},
		{[]string{"b", "", "a&c=+"}, "/v1/endpoints?service=&service=a%26c%3D%2B&service=b",
			"/v1/endpoints?follow=1&since=0&service=&service=a%26c%3D%2B&service=b"},
	} {
		client := NewClient(ClientConfig{Addresses: []string{addr}, Services: c.services})
		if _, err := client.Fetch(t.Context(), 5); err != nil {
			t.Fatal(err)
		}
		if err := client.Watch(t.Context(), 5, func(List) {}); !errors.Is(err, errWatchClosed) {
			t.Fatal(err)
		}
		for _, path := range []string{c.fetch, c.watch} {
			want := "GET " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nUser-Agent: Go-http-client/1.1\r\nConnection: close\r\n\r\n"
			if got := <-rawRequests; got != want {
				t.Errorf("sent %q, want %q", got, want)
			}
		}
	}
}

// CheckServices and Client.Subscribe reject the same subscriptions.
func TestCheckServices(t *testing.T) {
	many := []string{}
	for i := range MaxServices {
		many = append(many, fmt.Sprint("s", i))
	}
	for _, c := range []struct {
		services []string
		want     string
	}{
		{many, ""},
		{[]string{"", "a"}, ""},
		{[]string{}, "services: none named"},
		{append(many, "one more"), "services: 257 of at most 256"},
		{[]string{"a", "b", "a"}, `services[2]: named twice: "a"`},
		{[]string{"a", "b/c"}, `services[1]: must be at most 64 printable characters without spaces or slashes: "b/c"`},
		{[]string{strings.Repeat("x", MaxLabel+1)}, "services[0]: must be at most 64"},
	} {
		err := CheckServices(c.services)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%.20q: %v, want %q", c.services, err, c.want)
		}
		if err != nil {
			client := NewClient(ClientConfig{Addresses: testAddresses(1)})
			if _, err := client.Subscribe(c.services, 1); err == nil || client.subscription.number != 0 {
				t.Errorf("%.20q: Subscribe accepted the services", c.services)
			}
		}
	}
}

// A list of more than maxListBytes is rejected with an error that includes the limit; a list of exactly
// that length is accepted. A list of 39,000 endpoints exceeds the limit, a service of 5,000 does not.
func TestListSizeLimit(t *testing.T) {
	listOf := func(n int) []byte {
		l := List{Seq: 1, Full: true}
		for i := range n {
			l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprintf("server-%05d.zone-17", i), Dial: "127.0.0.1:54321", Site: "zone-17",
				Class: "kind-3", Block: i, Health: Ready, Weight: 1, StartedMs: 1764650000000 + float64(i), Service: "service-0815"})
		}
		text, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	paddedTo := func(n int) []byte {
		text := listOf(10)
		return append(append(text[:len(text)-1], strings.Repeat(" ", n-len(text))...), '}')
	}
	for name, c := range map[string]struct {
		text    []byte
		tooLong bool
	}{
		"a service of 5,000": {listOf(5000), false},
		"39,000":             {listOf(39000), true},
		"the limit":          {paddedTo(maxListBytes), false},
		"one byte more":      {paddedTo(maxListBytes + 1), true},
	} {
		t.Run(name, func(t *testing.T) {
			client := NewClient(ClientConfig{Addresses: testAddresses(1), Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
				text := string(c.text)
				if r.URL.RawQuery != "" {
					text += "\n"
				}
				return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(text)), Request: r}, nil
			})})
			_, err := client.Fetch(t.Context(), 0)
			if errors.Is(err, errListTooLong) != c.tooLong || !c.tooLong && err != nil {
				t.Errorf("Fetch returned %v", err)
			}
			if c.tooLong && !strings.Contains(err.Error(), "4194304") {
				t.Errorf("the error does not include the limit: %v", err)
			}
			lists := 0
			err = client.Watch(context.Background(), 0, func(List) { lists++ })
			if errors.Is(err, errListTooLong) != c.tooLong || (lists == 0) != c.tooLong {
				t.Errorf("Watch received %d lists and returned %v", lists, err)
			}
		})
	}
}
