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

// maxAnswerBytes bounds what a process may answer to an operator.
const maxResponseBytes = 64 << 20

// statusError is an answer other than success.
type statusError struct {
	address string
	status  string
	body    []byte
}

// Error names the process and what it said.
func (e statusError) Error() string {
	return "process at " + e.address + " answered " + e.status + ": " + strings.TrimSpace(string(e.body))
}

// administer calls the administration interface of a process. It decodes the
// answer into the given value, unless that is nil.
func (c *Credentials) callAdmin(method, address, path string, body, result any) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{errors.Errorf("address %q is not an IP number and a port", address)}
	}
	var sent []byte
	if body != nil {
		var err error
		if sent, err = json.Marshal(body); err != nil {
			return err
		}
	}
	scheme, client, err := c.httpClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, scheme+address+path, bytes.NewReader(sent))
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
	if result == nil {
		return nil
	}
	return errors.Wrapf(json.Unmarshal(raw, result), "process at %s", address)
}
