package commands

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/corianderhook/corianderhook/connection/logclient"
)

// readStream calls handle in order for every record of a stream that the platform's log
// retains.
func readStream(address, stream string, handle func(offset uint64, raw []byte) error) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError{errors.Errorf("--log is %q; it must be an IP number and a port", address)}
	}
	client := logclient.New(address)
	for from := uint64(0); ; {
		ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
		batch, err := client.Read(ctx, stream, from, 0)
		cancel()
		if err != nil {
			return err
		}
		for i, raw := range batch.Records {
			if err := handle(batch.From+uint64(i), raw); err != nil {
				return err
			}
		}
		from = batch.From + uint64(len(batch.Records))
		if len(batch.Records) == 0 || from >= batch.Next {
			return nil
		}
	}
}
