package main

import (
	"bufio"
	"encoding/json"
	"errors"
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
func (o *operator) configuration(version, routes int) ([]byte, error) {
	list := make([]route, routes)
	for i := range list {
		list[i] = route{
			Name: fmt.Sprintf("r-%07d", i), Host: fmt.Sprintf("db%08d", i), PathPrefix: "/", RouteType: o.routeType,
			TimeoutMs: o.timeoutMs + version%100, TargetLatencyMs: 200, Priority: 2, Service: groupName, MaxAttempts: 2, MaxStalenessMs: 2500,
		}
	}

	list[0].Host = databaseName

	return json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []map[string]any{{
			"name": groupName, "healthPath": "/health", "maxConns": maxConnections, "protocol": "h1", "tls": false,
			"syncReplicas": o.syncReplicas,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	})
}

// operator sends configurations to the control processes.
type operator struct {
	deployment *deployment
	client     *http.Client
	next       int
	// syncReplicas is that of the service; routeType and timeoutMs are those of the routes.
	syncReplicas int
	routeType    string
	timeoutMs    int
}

func newOperator(d *deployment) *operator {
	return &operator{deployment: d, client: &http.Client{Timeout: 3 * time.Second}, routeType: "read_your_writes", timeoutMs: 800}
}

// replace sends a configuration to one control process after the other until one acknowledges it or the time has come. It
// reports whether it was acknowledged.
func (o *operator) replace(version, routes int, until time.Time) (acknowledged bool, err error) {
	body, err := o.configuration(version, routes)
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

// clientSession is a session of a client at a proxy.
type clientSession struct {
	conn   net.Conn
	reader *bufio.Reader
}

// openSession opens a session, and returns the reason if it can't.
func openSession(address, user string) (opened *clientSession, last string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err.Error()
	}

	opened = &clientSession{conn: conn, reader: bufio.NewReader(conn)}

	if last, err = opened.call(fmt.Sprintf("CONNECT %s u%s", databaseName, user), "READY "); err != nil {
		_ = conn.Close()

		return nil, last
	}

	return opened, last
}

// call sends a line and reads up to the line that begins so. The result has the lines before it, or the last one if it fails.
func (s *clientSession) call(line, until string) (lines string, err error) {
	const callTimeout = 4 * time.Second

	if err := s.conn.SetDeadline(time.Now().Add(callTimeout)); err != nil {
		return err.Error(), err
	}

	if _, err := s.conn.Write([]byte(line + "\r\n")); err != nil {
		return err.Error(), err
	}

	var received []string

	for {
		answer, err := s.reader.ReadString('\n')
		if err != nil {
			return strings.Join(append(received, err.Error()), " | "), err
		}

		answer = strings.TrimSuffix(answer, "\r\n")
		received = append(received, answer)

		if strings.HasPrefix(answer, until) {
			return strings.Join(received, " | "), nil
		}

		if strings.HasPrefix(line, "CONNECT ") {
			return answer, errRefused
		}
	}
}

// errNotAcknowledged means that a case could not begin.
var errNotAcknowledged = errors.New("the first configuration was not acknowledged in time")

// errRefused is the failure of a login.
var errRefused = errors.New("the session was refused")

// query runs a statement. It succeeds if the answer has the signature of a server.
func (s *clientSession) query(id, text string) (served bool, answer string) {
	answer, err := s.call("QUERY "+id+" "+text, "READY ")
	if err != nil {
		return false, answer
	}

	return strings.Contains(answer, "COMPLETE ") && !strings.Contains(answer, "COMPLETE - "), answer
}

// callOnce opens a session at a proxy, sends one write and returns whether it succeeded, and the answer.
func callOnce(address, id, item string) (served bool, answer string) {
	opened, last := openSession(address, id)
	if opened == nil {
		return false, last
	}

	defer func() { _ = opened.conn.Close() }()

	return opened.query(id, "WRITE "+item+" value")
}
