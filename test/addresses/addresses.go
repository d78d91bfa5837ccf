// Package addresses reserves a loopback network for each test run, and finds the process that
// listens at an address that is in use.
package addresses

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
)

const (
	// maxNetworks is the number of networks with the same first two octets.
	maxNetworks = 256
	// lockHost and lockPort are the last octet and the port of the address that a run listens
	// at while it uses a network, to reserve it.
	lockHost = 254
	lockPort = 7999
)

// Network is a loopback network reserved for one run.
type Network struct {
	// Prefix is the first three octets of its addresses, such as "127.94.7".
	Prefix string
	lock   net.Listener
}

// NoFreeNetworkError is returned when all networks of a prefix are in use.
type NoFreeNetworkError struct{ Prefix string }

// Error implements error.
func (e *NoFreeNetworkError) Error() string {
	return fmt.Sprintf("addresses: all %d networks of %s are in use", maxNetworks, e.Prefix)
}

// Reserve reserves a network that no other run uses; prefix is its first two octets. The network
// is free again after Release or when this process exits. The error is a *NoFreeNetworkError.
func Reserve(prefix string) (*Network, error) {
	for i := range maxNetworks {
		network := fmt.Sprintf("%s.%d", prefix, i)
		lock, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", network, lockHost, lockPort))
		if err == nil {
			return &Network{Prefix: network, lock: lock}, nil
		}
	}
	return nil, &NoFreeNetworkError{Prefix: prefix}
}

// Release ends the reservation.
func (n *Network) Release() { _ = n.lock.Close() }

// InUseError is returned when a process listens at an address.
type InUseError struct {
	Address string
	// Holder is the process that listens there, empty if it cannot be found out.
	Holder string
}

// Error implements error.
func (e *InUseError) Error() string {
	holder := e.Holder
	if holder == "" {
		holder = "an unknown process"
	}
	return fmt.Sprintf("addresses: %s is in use by %s", e.Address, holder)
}

// CheckFree returns an *InUseError if a process listens at a TCP address, given as
// "IPV4:PORT", and another error if the address cannot be listened at.
func CheckFree(address string) error {
	l, err := net.Listen("tcp4", address)
	if err == nil {
		return l.Close()
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		return &InUseError{Address: address, Holder: listenerOf(address)}
	}
	return err
}

// listenerOf returns the id and name of the process that listens at an address, from Linux's
// /proc (see proc(5)), or "" if it is not found there.
func listenerOf(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	inode := listeningInode(a)
	if inode == "" {
		return ""
	}
	descriptors, err := filepath.Glob("/proc/[0-9]*/fd/*")
	if err != nil {
		return ""
	}
	for _, d := range descriptors {
		// Reading fails if the process has exited meanwhile or belongs to another user.
		link, err := os.Readlink(d)
		if err != nil || link != "socket:["+inode+"]" {
			continue
		}
		process := strings.Split(d, "/")[2]
		name, err := os.ReadFile("/proc/" + process + "/comm")
		if err != nil {
			continue
		}
		return fmt.Sprintf("process %s (%s)", process, strings.TrimSpace(string(name)))
	}
	return ""
}

// listening is the state TCP_LISTEN in /proc/net/tcp.
const listening = "0A"

// listeningInode returns the inode of the socket that listens at an address, or "" if there is
// none.
func listeningInode(a netip.AddrPort) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer func() { _ = file.Close() }()
	ip := a.Addr().As4()
	local := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), a.Port())
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const localAt, stateAt, inodeAt = 1, 3, 9
		if len(fields) > inodeAt && fields[localAt] == local && fields[stateAt] == listening {
			return fields[inodeAt]
		}
	}
	return ""
}
