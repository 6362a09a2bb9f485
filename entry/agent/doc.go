// Package agent connects an entry process to its steer and to its peers: settings, ownership, hosts and load.
package agent
