package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"github.com/pebbletrail/pebbletrail/internal/exactjson"
)

// Timeouts and maximum response sizes of calls to a controller.
const (
	getTimeout      = 5 * time.Second
	commandTimeout  = 10 * time.Second
	maxGetBytes     = 4 << 20
	maxCommandBytes = 16 << 20
)

// nodeFlag adds the flag for the address of the controller to call.
func nodeFlag(command *cobra.Command, node *string) {
	command.Flags().StringVar(node, "node", "127.0.0.1:8080", "address of a controller's users' side")
}

// statusError is returned if a controller answers with an HTTP error status without a reason.
type statusError struct{ node, status string }

// Error returns the controller's address and the status.
func (e *statusError) Error() string { return e.node + " answers " + e.status }

// refusalError is returned if a controller rejects a command and gives a reason.
type refusalError struct{ reason string }

// Error returns the reason given by the controller.
func (e *refusalError) Error() string { return e.reason }

// drainsDisabledError is returned if drains are not enabled on a controller.
type drainsDisabledError struct{ node string }

// Error returns a message that describes how to enable drains.
func (e *drainsDisabledError) Error() string {
	return e.node + " does not know drains: name drains in the features' file (docs/operations-drains.md)"
}

// getFromController sends a GET request to a controller and returns the response body.
func getFromController(node, path string) ([]byte, error) {
	client := http.Client{Timeout: getTimeout}
	response, err := client.Get("http://" + node + path)
	if err != nil {
		return nil, err
	}
	body, err := readBody(response, maxGetBytes)
	if err != nil {
		return nil, fmt.Errorf("read the response for %s from %s: %w", path, node, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{node, response.Status}
	}
	return body, nil
}

// callController sends a command to a controller and decodes the JSON response into answer. If the status
// is not 200, the error is a *refusalError if the controller gave a reason, a *drainsDisabledError if it
// has no such route, and otherwise a *statusError.
func callController(node, method, path string, body, answer any) error {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return fmt.Errorf("encode the request for %s: %w", path, err)
		}
	}
	request, err := http.NewRequest(method, "http://"+node+path, &content)
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: commandTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	raw, err := readBody(response, maxCommandBytes)
	if err != nil {
		return fmt.Errorf("read the response of %s to %s: %w", node, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(node, response, raw)
	}
	if err := exactjson.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("decode the response of %s to %s: %w", node, path, err)
	}
	return nil
}

// readBody reads up to limit bytes of a response body and closes it.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }() // the error does not matter: nothing is read afterwards
	return io.ReadAll(io.LimitReader(response.Body, limit))
}

// responseError returns the error for a response with a status other than 200.
func responseError(node string, response *http.Response, raw []byte) error {
	var answer struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	if exactjson.Unmarshal(raw, &answer) == nil && answer.Error != "" {
		return &refusalError{answer.Error}
	}
	if response.StatusCode == http.StatusNotFound && answer.Message != "" {
		return &drainsDisabledError{node}
	}
	return &statusError{node, response.Status}
}
