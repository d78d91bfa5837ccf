// Package addresses gives each run of a test loopback addresses of its own, and tells
// who holds an address that is taken.
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
	// maxNetworks is how many networks there are of one prefix.
	maxNetworks = 256
	// lockHost and lockPort are the address that a run holds for as long as it uses a
	// network.
	lockHost = 254
	lockPort = 7999
)

// Network is a loopback network of one run.
type Network struct {
	// Prefix is the first three numbers of its addresses, such as "127.94.7".
	Prefix string
	lock   net.Listener
}

// NoFreeNetworkError says that all networks of a prefix are in use.
type NoFreeNetworkError struct{ Prefix string }

// Error implements error.
func (e *NoFreeNetworkError) Error() string {
	return fmt.Sprintf("addresses: all %d networks of %s are in use", maxNetworks, e.Prefix)
}

// Reserve takes a network that no other run uses; prefix is its first two numbers. It is
// free again after Release, or when this process ends. The error is a *NoneFreeError.
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

// Release gives the network back.
func (n *Network) Release() { _ = n.lock.Close() }

// InUseError says that an address is taken.
type InUseError struct {
	Address string
	// Holder is the process that listens there, empty if it cannot be told.
	Holder string
}

// Error implements error.
func (e *InUseError) Error() string {
	holder := e.Holder
	if holder == "" {
		holder = "a process that cannot be told"
	}
	return fmt.Sprintf("addresses: %s is held by %s", e.Address, holder)
}

// CheckFree reports a TCP address, an IPv4 number and a port, at which somebody listens.
// The error is a *HeldError or that of the address.
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

// listenerOf returns the process that listens at an address, from what Linux tells in
// /proc (see proc(5)); empty if it does not tell.
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
		// A process may have ended meanwhile, or be another user's.
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

// listening is the state of a listening socket in /proc/net/tcp.
const listening = "0A"

// listeningInode returns the inode of the socket that listens at an address, or "".
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
