package harness2

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

// maxHang bounds how long a request of a caller that is cut off is held.
const maxHang = 130 * time.Second

// hang holds a request without an answer until its caller gives up.
func hang(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // so that the end of the connection is noticed
	select {
	case <-r.Context().Done():
	case <-time.After(maxHang):
	}
	panic(http.ErrAbortHandler)
}

func readBody(r *http.Request) []byte {
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20)) // a body that is cut short is malformed JSON
	return body
}

func reply(w http.ResponseWriter, code int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(answer) // fails only if the caller is gone
}

// Serve serves a handler on a free loopback port until the program ends, and returns the address.
func Serve(handler http.Handler) string {
	listener := listen()
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }() // ends with the program
	return listener.Addr().String()
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return listener
}

// FreeAddress returns a loopback address with a port that is free now. Its host is this process's own, so that cases that
// run at once take no address from each other, and its port is none that the system gives to outgoing connections.
func FreeAddress() string {
	const first, count, hosts = 15000, 15000, 250
	host := fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()/hosts%hosts, 1+os.Getpid()%hosts)
	for {
		address := fmt.Sprintf("%s:%d", host, first+rand.IntN(count))
		if listener, err := net.Listen("tcp4", address); err == nil {
			_ = listener.Close() // nothing was accepted
			return address
		}
	}
}

// Call makes a request with a JSON body, if body is not nil, and returns the status and the decoded answer; status 0
// if there was no answer in time.
func Call(client *http.Client, method, url string, body any) (status int, answer map[string]any) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		panic(err)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	_ = json.Unmarshal(raw, &answer) // an answer without JSON is left nil
	return response.StatusCode, answer
}

// post sends a JSON body and returns the status and the answer; status 0 if there was no answer in time.
func post(client *http.Client, url string, body any) (status int, answer []byte) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	response, err := client.Post(url, "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }() // it was read to its end
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
