package fake

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// sendRequest sends a request from a host with a timeout of 2 s. It returns status 0 if there is no answer.
func sendRequest(network *Network, from, method, url, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader([]byte(body)))
	response, err := network.Client(from).Do(request)
	if err != nil {
		return 0, ""
	}
	answer, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(answer)
}

func putTransaction(key string, stamp int) string {
	return fmt.Sprintf(`{"when":[{"key":%q,"stamp":%d}],"then":[{"put":%q,"value":%d}]}`, key, stamp, key, stamp)
}
