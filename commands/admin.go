package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// maxResponseBytes limits the response of a process to an administrative request.
const maxResponseBytes = 64 << 20

// statusError is a response with an HTTP error status.
type statusError struct {
	address string
	status  string
	body    []byte
}

// Error returns the address, the status and the body of the response.
func (e statusError) Error() string {
	return "process at " + e.address + " answered " + e.status + ": " + strings.TrimSpace(string(e.body))
}

// callAdmin calls the administration interface of a process and decodes the
// response into result, unless that is nil or the response has no body.
func (c *Credentials) callAdmin(method, address, path string, body, result any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{errors.Errorf("address %q is not an IP number and a port", address)}
	}
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	scheme, client, err := c.httpClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+address+path, bytes.NewReader(payload))
	if err != nil {
		return err
	}
	if err := c.addToken(request); err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "process at %s", address)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrapf(err, "process at %s", address)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return statusError{address: address, status: response.Status, body: raw}
	}
	if result == nil || len(raw) == 0 {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(raw, result), "process at %s", address)
}
