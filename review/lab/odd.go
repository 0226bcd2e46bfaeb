package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["odd"] = oddEntries
}

// oddEntries has another writer leave odd entries in the store. It looks for VMs that end, or stop following the store.
func oddEntries(l *Lab) bool {
	store := NewStore(l.Record)
	services := []string{"suivi", "relances"}
	var servers []*Server
	for i, zone := range []string{"brest-nord", "angers-est", "cherbourg-sud"} {
		for _, service := range services {
			s := NewServer(l.Record, fmt.Sprintf("i-%.1s%d", service, i), service, zone, 6, 24)
			s.Work = func(*http.Request) time.Duration { return 20 * time.Millisecond }
			servers = append(servers, s)
			store.Put("servers/"+s.ID, s.Entry("ready", 1))
		}
	}
	config := func(version int, service string) map[string]any {
		return configOf(version, []map[string]any{routeOf("bon-travail", "/bon/", "idempotent", service, nil, 5000, 800, 0, 0)}, services, 96)
	}
	store.Put("op/config", config(7, services[0]))
	vms := NewVMs(l.Dir, store.Address, []string{"brest-nord", "angers-est", "cherbourg-sud"})
	for _, vm := range vms {
		vm.Start()
	}
	for _, vm := range vms {
		vm.WaitReady(10 * time.Second)
	}
	time.Sleep(6 * time.Second)
	if l.Trouble {
		valid := `{"service":"suivi","address":"127.0.0.1:9","zone":"brest-nord","version":"v1","capacity":3,"state":"ready","warmupLeftMs":0,"sequence":4,"born":1700000000000`
		for i, text := range []string{
			"", "null", "[]", "{}", "true", "7", "\xff\xfe\x00", `{"service":"suivi"`, strings.Repeat("[", 200_000), strings.Repeat(`{"a":`, 100_000),
			valid + `,"warmupLeftMs":1e400}`, valid + `,"warmupLeftMs":1e308}`, valid + `,"capacity":1e99}`, valid + `,"capacity":-3}`, valid + `,"born":99999999999999999999}`,
			valid + `,"born":-9223372036854775808}`, valid + `,"sequence":{}}`, valid + `,"address":"127.0.0.1:70000"}`, valid + `,"address":"[::1]:80"}`,
			valid + `,"address":{"ip":1}}`, valid + `,"state":"gone"}`, valid + `,"service":"none"}`, valid + `,"zone":"` + strings.Repeat("z", 500_000) + `"}`,
			valid + `,"zone":null}`, valid + `,"new":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
		} {
			store.PutRaw(fmt.Sprintf("servers/odd-%02d", i), []byte(text))
		}
		for _, key := range []string{"servers/", "servers/a b", "servers/\x01", "servers/" + strings.Repeat("k", 190), "op/evacuate/", "op/evacuate/none", "op/none", "op/config/x"} {
			store.PutRaw(key, []byte("{"))
			store.PutRaw(key+"é", []byte(valid+"}"))
		}
		l.Line("odd entries are written")
	}
	time.Sleep(2 * time.Second)
	store.Put("op/config", config(8, services[1]))
	store.Put("servers/"+servers[0].ID, servers[0].Entry("draining", 2))
	time.Sleep(3100 * time.Millisecond)
	before := len(servers[0].Arrivals()) + len(servers[2].Arrivals()) + len(servers[4].Arrivals())
	client := NewClient(l.Record, "b")
	failed := 0
	var mu sync.Mutex
	var work sync.WaitGroup
	for _, vm := range vms {
		for range 20 {
			work.Go(func() {
				if r := client.Send(vm, "GET", "/bon/2f", 5*time.Second, ""); r.Status != 200 {
					mu.Lock()
					failed++
					mu.Unlock()
				}
			})
		}
	}
	work.Wait()
	stale := len(servers[0].Arrivals()) + len(servers[2].Arrivals()) + len(servers[4].Arrivals()) - before
	ended := 0
	for _, vm := range vms {
		select {
		case <-vm.exited:
			ended++
		default:
		}
	}
	l.Say("%d of 60 requests failed, %d reached the old service, %d of 3 processes ended", failed, stale, ended)
	return failed+stale+ended > 0
}
