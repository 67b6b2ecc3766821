//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"testing"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/remote"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/platform/standin"
)

const (
	// ownMemoryMB is the memory that control of a node may take, and ownDescriptors
	// suffice for the default limits of the product's own interface.
	ownMemoryMB    = 256
	ownDescriptors = 8192
	// ownHeads is the number of clients that send heads within the limit.
	ownHeads = 2000
	// ownBodies is the number of clients that send bodies of 1 MiB.
	ownBodies = 400
	// ownConnections is the number of silent clients, above the default limit on
	// connections.
	ownConnections = 4400
)

// startOwn starts an entry with the product's own interface and returns it with
// the operator's key.
func startOwn(t *testing.T) (e *entry, key string) {
	platform := httptest.NewServer(remote.Handler(memory.NewTable(), memory.NewObjects()))
	t.Cleanup(platform.Close)
	m := standin.Machine{
		Node: "entry", IP: fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250)), Port: firstPort,
		MemoryMB: ownMemoryMB, MaxDescriptors: ownDescriptors,
	}
	key = keys.Generate()
	text, err := json.Marshal(map[string]any{
		"id": m.Node, "data_centre": "dc-1", "http": map[string]string{"listen": m.Clients()}, "rpc": map[string]string{"listen": m.Peers()},
		"peers": map[string]string{"secret": "a secret of the test's processes"}, "operator_key_hashes": []string{keys.Hash(key)},
		"platform": map[string]string{"table": platform.URL, "objects": platform.URL},
	})
	if err != nil {
		t.Fatal(err)
	}
	e = &entry{Machine: m, t: t, cmd: exec.Command(entryProgram, "entry", "-settings", writeSettings(t, text))}
	e.ordinary = func() error { return listContracts(m.Clients(), key) }
	e.start()
	e.mustServe("before the crowd")
	return e, key
}

func listContracts(address, key string) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/admin/contracts", nil)
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// Guards against crowds at the product's own interface, which is served by other
// code than that of the users' platform.
func TestOwnInterface(t *testing.T) {
	t.Run("heads", func(t *testing.T) {
		e, _ := startOwn(t)
		text := "GET /v1/jobs HTTP/1.1\r\nHost: h\r\n" + smallLines(settings.DefaultLimits().HeaderBytes-1<<10)
		checkCrowdAt(e, ownHeads, func(*entry, int) request { return request{text: text} })
	})
	t.Run("bodies", func(t *testing.T) {
		e, key := startOwn(t)
		size := int(settings.DefaultLimits().BodyBytes)
		text := fmt.Sprintf("PUT /v1/admin/contracts/c HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			key, size, strings.Repeat(" ", size-1))
		checkCrowdAt(e, ownBodies, func(*entry, int) request { return request{text: text} })
	})
	t.Run("connections", func(t *testing.T) {
		e, _ := startOwn(t)
		checkCrowdAt(e, ownConnections, func(*entry, int) request {
			return request{text: "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"}
		})
	})
}
