// Package httpjson sends HTTP requests with JSON bodies and reads the complete responses. Interpreting
// the status and the body of a response is left to the caller.
package httpjson

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Client sends requests to one server.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client for the server at a host:port address.
func NewClient(address string, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address, httpClient: client}
}

// Response is a response that was received completely.
type Response struct {
	Status int
	Body   []byte
}

// NoResponseError is returned if no complete response was received. The server may have executed the
// request, or may still execute it.
type NoResponseError struct {
	Err error
}

func (e *NoResponseError) Error() string { return e.Err.Error() }

// Unwrap returns the error of the connection or of the context.
func (e *NoResponseError) Unwrap() error { return e.Err }

// Do sends a request with body encoded as JSON, or without a body if body is nil. The path may include a
// query. An error other than a *NoResponseError means that nothing was sent.
func (c *Client) Do(ctx context.Context, method, path string, body any) (Response, error) {
	request, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return Response{}, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return Response{}, &NoResponseError{err}
	}
	defer func() {
		_ = response.Body.Close() // ReadAll reports whether the body was read completely
	}()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, &NoResponseError{err}
	}
	return Response{Status: response.StatusCode, Body: raw}, nil
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.baseURL+path, nil)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(raw))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
