package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	databaseName = "students"
	groupName    = "registry"
	// maxConnections is the number of connections that each server accepts.
	maxConnections = 34
)

// route is a route of a configuration.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	MaxStalenessMs  int    `json:"maxStalenessMs"`
}

// configuration returns a configuration with the given number of routes to the one group. Each version has another timeout.
func configuration(version, routes int) ([]byte, error) {
	list := make([]route, routes)
	for i := range list {
		list[i] = route{
			Name: fmt.Sprintf("r-%07d", i), Host: fmt.Sprintf("db%08d", i), PathPrefix: "/", RouteType: "read_your_writes",
			TimeoutMs: 800 + version%100, TargetLatencyMs: 200, Priority: 2, Service: groupName, MaxAttempts: 2, MaxStalenessMs: 2500,
		}
	}

	list[0].Host = databaseName

	return json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{
			"name": groupName, "healthPath": "/health", "maxConns": maxConnections, "protocol": "h1", "tls": false, "syncReplicas": 0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	})
}

// operator sends configurations to the control processes.
type operator struct {
	deployment *deployment
	client     *http.Client
	next       int
}

func newOperator(d *deployment) *operator {
	return &operator{deployment: d, client: &http.Client{Timeout: 3 * time.Second}}
}

// replace sends a configuration to one control process after the other until one acknowledges it or the time has come. It
// reports whether it was acknowledged.
func (o *operator) replace(version, routes int, until time.Time) (acknowledged bool, err error) {
	body, err := configuration(version, routes)
	if err != nil {
		return false, err
	}

	last := ""
	pause := 50 * time.Millisecond

	for time.Now().Before(until) {
		status, err := o.send(body)

		switch {
		case err == nil && status == http.StatusOK:
			return true, nil
		case err == nil && status < http.StatusInternalServerError:
			return false, fmt.Errorf("configuration %d was refused with %d", version, status)
		case err != nil:
			last = err.Error()
		default:
			last = fmt.Sprintf("status %d", status)
		}

		o.next++

		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}

	o.deployment.record.add("configuration %d is not acknowledged; last answer: %s", version, last)

	return false, nil
}

func (o *operator) send(body []byte) (status int, err error) {
	address := o.deployment.address(o.next%len(o.deployment.ips), portControl)

	response, err := o.client.Post("http://"+address+"/v1/Config.Replace", "application/json", strings.NewReader(string(body)))
	if err != nil {
		return 0, err
	}

	_, _ = io.Copy(io.Discard, response.Body) // Only the status counts.

	return response.StatusCode, response.Body.Close()
}

// callOnce opens a session at a proxy, sends one write and returns whether it succeeded, and the last line.
func callOnce(address, id, item string) (served bool, last string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false, err.Error()
	}

	defer func() { _ = conn.Close() }()

	if err := conn.SetDeadline(time.Now().Add(4 * time.Second)); err != nil {
		return false, err.Error()
	}

	reader := bufio.NewReader(conn)

	if _, err := fmt.Fprintf(conn, "CONNECT %s u%s\r\n", databaseName, id); err != nil {
		return false, err.Error()
	}

	if last, err = reader.ReadString('\n'); err != nil || !strings.HasPrefix(last, "READY ") {
		return false, strings.TrimSpace(last)
	}

	if _, err := fmt.Fprintf(conn, "QUERY %s WRITE %s value\r\n", id, item); err != nil {
		return false, err.Error()
	}

	last, err = reader.ReadString('\n')

	return err == nil && strings.HasPrefix(last, "COMPLETE ") && !strings.HasPrefix(last, "COMPLETE -"), strings.TrimSpace(last)
}
