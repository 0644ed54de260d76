// Package storeapi defines the platform's object API: HTTP with JSON.
//
//	GET  /v1/objects/{name}                         the object; 404 if it does not exist
//	GET  /v1/objects/{name}?after=VERSION&wait=30s  the object once its version is above VERSION; 304 after the wait
//	PUT  /v1/objects/{name}                         conditional update with a Put as the body; 409 with the object if its version differs
//	GET  /v1/vms                                    the platform's list of VMs, which lags
//
// A name is made of path segments. A value is any JSON of at most MaxValue bytes.
package storeapi

import (
	"encoding/json"
	"time"
)

// Paths of the object API.
const (
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// MaxValue is the largest value of an object in bytes.
const MaxValue = 1 << 20

// MaxWait is the longest time that a watch may wait.
const MaxWait = 30 * time.Second

// ConfigObject is the name of the object that holds the configuration.
const ConfigObject = "config"

// Object is a stored object. Versions start at 1 and grow with each update.
type Object struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Put is the body of a conditional update. Version is the version that the
// object must have; zero means that it must not exist.
type Put struct {
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// VM is an entry of the platform's list.
type VM struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"` // peer interface, host:port
	Leaving    bool   `json:"leaving"`
}
