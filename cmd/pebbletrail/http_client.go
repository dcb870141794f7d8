package main

import (
	"net"
	"net/http"
	"time"
)

// newHTTPClient returns an HTTP client with at most perHost connections to each host and at most idle
// idle connections in total. Connecting has a short timeout, since a host that is partitioned or powered
// off does not answer at all.
func newHTTPClient(perHost, idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxConnsPerHost:     perHost,
		MaxIdleConnsPerHost: perHost,
		MaxIdleConns:        idle,
		IdleConnTimeout:     60 * time.Second,
		DisableCompression:  true,
	}}
}
