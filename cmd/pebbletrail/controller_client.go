package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"
)

// Limits of the calls to a controller.
const (
	pageTimeout     = 5 * time.Second
	commandTimeout  = 10 * time.Second
	maxPageBytes    = 4 << 20
	maxCommandBytes = 16 << 20
)

// nodeFlag adds the flag that names the controller to call.
func nodeFlag(command *cobra.Command, node *string) {
	command.Flags().StringVar(node, "node", "127.0.0.1:8080", "address of a controller's users' side")
}

// statusError is an answer of a controller with an HTTP status that gives no reason.
type statusError struct{ node, status string }

// Error names the controller and the status.
func (e *statusError) Error() string { return e.node + " answers " + e.status }

// refusalError is the reason why a controller refuses a command.
type refusalError struct{ reason string }

// Error is the reason as the controller gave it.
func (e *refusalError) Error() string { return e.reason }

// noDrainsError tells that drains are not switched on at a controller.
type noDrainsError struct{ node string }

// Error tells how to switch them on.
func (e *noDrainsError) Error() string {
	return e.node + " does not know drains: name drains in the features' file (docs/operations-drains.md)"
}

// fetchPage gets a page of a controller.
func fetchPage(node, path string) ([]byte, error) {
	client := http.Client{Timeout: pageTimeout}
	response, err := client.Get("http://" + node + path)
	if err != nil {
		return nil, err
	}
	body, err := readBody(response, maxPageBytes)
	if err != nil {
		return nil, fmt.Errorf("read %s of %s: %w", path, node, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{node, response.Status}
	}
	return body, nil
}

// callController sends a command to a controller and decodes its answer into answer. The error is
// a *refusalError if the controller gave a reason why it refuses, a *noDrainsError if it does
// not know the command, or else a *statusError if it answered at all.
func callController(node, method, path string, body, answer any) error {
	var content bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&content).Encode(body); err != nil {
			return fmt.Errorf("encode the command %s: %w", path, err)
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
		return fmt.Errorf("read the answer of %s to %s: %w", node, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(node, response, raw)
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return fmt.Errorf("decode the answer of %s to %s: %w", node, path, err)
	}
	return nil
}

// readBody reads a response to its end, or up to a limit, and closes it.
func readBody(response *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = response.Body.Close() }() // nothing is read from it afterwards
	return io.ReadAll(io.LimitReader(response.Body, limit))
}

// refusal is the error that an answer other than 200 stands for.
func refusal(node string, response *http.Response, raw []byte) error {
	var answer struct {
		Error   string `json:"error"`
		Message string `json:"message"`
	}
	if json.Unmarshal(raw, &answer) == nil && answer.Error != "" {
		return &refusalError{answer.Error}
	}
	if response.StatusCode == http.StatusNotFound && answer.Message != "" {
		return &noDrainsError{node}
	}
	return &statusError{node, response.Status}
}
