package main

import (
	"net"
	"net/http"
	"time"
)

// newHTTPClient makes an HTTP client with at most so many connections to each host, and so many
// idle ones in all. Its every connection attempt ends soon: a cut or powerless host answers
// nothing at all.
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
