package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	uploadBytes = 256 << 10 // maxBodyBytes of the site
	uploads     = 90
	readOnAfter = 12 * time.Second

	// The windows of the links are small and their packets are those of an ordinary network, so that a server that does not
	// read blocks the writer. The loopback device would take megabytes.
	serverBuffer = 8 << 10
	etherMSS     = 1448
)

// uploadServer is a server that rejects long requests with an answer of its own. If early is true, it does so before the body
// is in, keeps the connection and reads on later.
type uploadServer struct {
	*server
	early bool
}

// smallWindows listens with small windows and the segments of an ordinary network.
func smallWindows(address string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		failed := c.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, serverBuffer); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, etherMSS)
			}
		})
		if failed != nil {
			return failed
		}
		return err
	}}
	return cfg.Listen(context.Background(), "tcp", address)
}

func (l *lab) addUploadServer(service, zone string, n int, early bool) (*uploadServer, error) {
	listener, err := smallWindows("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &uploadServer{early: early, server: &server{
		lab: l, id: fmt.Sprintf("i-%s-%s-%d", service, zone, n), service: service, zone: zone, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), capacity: 96,
	}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *uploadServer) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Pistachioshore-Request-Id")
		if !s.early && !s.readBody(r, id) {
			return
		}
		text := "too long"
		_, err = fmt.Fprintf(c, "HTTP/1.1 413 Request Entity Too Large\r\nX-Pistachioshore-Request-Id: %s\r\nX-Pistachioshore-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, s.id+"."+id, len(text), text)
		if err != nil {
			return
		}
		s.lab.logf("server %s: answered %s with 413", s.id, id)
		if s.early {
			time.Sleep(readOnAfter)
			if !s.readBody(r, id) {
				return
			}
		}
	}
}

// readBody reads the rest of a request.
func (s *uploadServer) readBody(r *http.Request, id string) bool {
	n, err := io.Copy(io.Discard, r.Body)
	s.lab.logf("server %s: has read the %d bytes of %s, error %v", s.id, n, id, err)
	return err == nil
}

// hang plays uploads that servers reject before they are in, and checks that the VMs still follow the configuration.
func hang(l *lab, trouble bool) (int, error) {
	zones := []string{"perth-north", "perth-east", "perth-south"}
	var services []configSvc
	for _, name := range []string{"care-desk", "card-admin"} {
		services = append(services, configSvc{Name: name, HealthPath: "/health", MaxConnections: 500, Protocol: "h1", WarmupS: 3})
	}
	for n, zone := range zones {
		for i := range 3 {
			u, err := l.addUploadServer("care-desk", zone, 3*n+i, trouble)
			if err != nil {
				return 0, err
			}
			u.register("ready")
		}
		s, err := l.addServer("card-admin", zone, n, 6, 5*time.Millisecond)
		if err != nil {
			return 0, err
		}
		s.register("ready")
	}
	base := config{Version: 7, Services: services, Limits: limits(), Routes: []configRoute{
		{Name: "r-upload", Host: "pupu76.example", Prefix: "/envoi1/", Type: "idempotent", TimeoutMs: 4000, TargetMs: 500, Priority: 2, Service: "care-desk", MaxAttempts: 2},
		{Name: "r-bon", Host: "pupu76.example", Prefix: "/timi402/", Type: "idempotent", TimeoutMs: 4000, TargetMs: 500, Priority: 1, Service: "card-admin", MaxAttempts: 2},
	}}
	l.putConfig(base)
	for _, zone := range zones {
		if _, err := l.addVM(zone); err != nil {
			return 0, err
		}
	}
	if err := l.startAll(20 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(6 * time.Second) // the VMs know each other

	var work sync.WaitGroup
	var mu sync.Mutex
	rejected := 0
	body := bytes.Repeat([]byte("u"), uploadBytes)
	for j, v := range l.vms {
		for i := range uploads {
			work.Go(func() {
				id := fmt.Sprintf("aaaa%04x%08x", j, i)
				a := call("POST", v.front, "pupu76.example", "/envoi1/2f", id, 5*time.Second, bytes.NewReader(body), uploadBytes)
				l.logf("client: upload %s at %s: status %d, error %v, %v", id, v.name, a.status, a.err, a.took)
				mu.Lock()
				defer mu.Unlock()
				if a.status == http.StatusRequestEntityTooLarge {
					rejected++
				}
			})
		}
	}
	time.Sleep(time.Second)
	for _, v := range l.vms {
		v.cutStore()
		l.logf("store: closes its connections with %s", v.name)
	}
	newer := base
	newer.Version = 12
	newer.Routes = append(append([]configRoute{}, base.Routes...), configRoute{
		Name: "r-new", Host: "pupu76.example", Prefix: "/nouveau3/", Type: "idempotent", TimeoutMs: 4000, TargetMs: 500, Priority: 1, Service: "card-admin", MaxAttempts: 2,
	})
	ack, _ := l.putConfig(newer)
	time.Sleep(time.Until(ack.Add(configApply + 100*time.Millisecond)))
	sent, old, served := 0, 0, 0
	for i := range 15 {
		for j, v := range l.vms {
			work.Go(func() {
				id, at := fmt.Sprintf("bbbb%04x%08x", j, i), time.Since(ack)
				a := call("GET", v.front, "pupu76.example", "/nouveau3/2f", id, 4*time.Second, nil, 0)
				l.logf("client: ordinary %s sent %v after the ack at %s: status %d, error %v, %v", id, at, v.name, a.status, a.err, a.took)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch a.status {
				case http.StatusNotFound:
					old++
				case http.StatusOK:
					served++
				}
			})
		}
		time.Sleep(200 * time.Millisecond)
	}
	work.Wait()
	l.say("%d of %d uploads got the server's 413; of %d requests sent more than %v after the ack %d were refused with 404 though the route is there, %d served", rejected, uploads*len(l.vms), sent, configApply, old, served)
	if old > 0 {
		return exitBroken, nil
	}
	return exitHeld, l.allAlive()
}
