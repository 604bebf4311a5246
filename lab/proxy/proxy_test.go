package proxy

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// echo serves lines and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				lines := bufio.NewReader(c)
				for {
					line, err := lines.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

func open(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	p, err := New("127.0.0.1:0", FixedTarget(echo(t)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return p, c
}

// ask sends a line and returns what came back in time.
func ask(c net.Conn, within time.Duration) (string, error) {
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	return hear(c, within)
}

func hear(c net.Conn, within time.Duration) (string, error) {
	if err := c.SetReadDeadline(time.Now().Add(within)); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func TestForwardsBothWays(t *testing.T) {
	i := is.New(t)
	_, c := open(t)
	line, err := ask(c, 5*time.Second)
	i.NoErr(err)
	i.Equal(line, "hello\n")
}

func TestHeldDataArrivesLater(t *testing.T) {
	for name, f := range map[string]Fault{"up": {HoldUpstream: true}, "down": {HoldDownstream: true}} {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			p, c := open(t)
			p.SetFault(f)
			_, err := ask(c, 100*time.Millisecond)
			i.True(err != nil)
			p.SetFault(Fault{})
			line, err := hear(c, 5*time.Second)
			i.NoErr(err)
			i.Equal(line, "hello\n")
		})
	}
}

func TestDelay(t *testing.T) {
	i := is.New(t)
	p, c := open(t)
	p.SetFault(Fault{Delay: 60 * time.Millisecond})
	began := time.Now()
	_, err := ask(c, 5*time.Second)
	i.NoErr(err)
	i.True(time.Since(began) >= 120*time.Millisecond)
}

func TestResetAndRefusal(t *testing.T) {
	i := is.New(t)
	p, c := open(t)
	_, err := ask(c, 5*time.Second)
	i.NoErr(err)
	p.SetFault(Fault{Refuse: true})
	p.ResetConnections()
	_, err = ask(c, 5*time.Second)
	i.True(err != nil)
	again, err := net.Dial("tcp", p.Address())
	if err == nil {
		defer again.Close()
		_, err = ask(again, 5*time.Second)
	}
	i.True(err != nil)
}

// A connection across a cut comes about when the cut is over, with what was said.
func TestConnectionOpenedDuringPartition(t *testing.T) {
	i := is.New(t)
	p, _ := open(t)
	p.SetFault(Fault{HoldUpstream: true})
	c, err := net.Dial("tcp", p.Address())
	i.NoErr(err)
	defer c.Close()
	_, err = ask(c, 100*time.Millisecond)
	i.True(err != nil)
	p.SetFault(Fault{})
	line, err := hear(c, 5*time.Second)
	i.NoErr(err)
	i.Equal(line, "hello\n")
}
