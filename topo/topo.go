// Package topo defines the types shared by every other package: the names of
// nodes, servers, zones, services and shards, and Term and Fence, the two ordered
// numbers that identify ownership. It performs no I/O and imports no other package
// of this project.
package topo

import (
	"fmt"
	"strconv"
	"strings"
)

// NodeID names the process of one entry VM, as configured in its settings.
type NodeID string

// BootID names one incarnation of a process. A restarted process has a new BootID,
// so that a message to an earlier incarnation is never taken for a message to the
// current one.
type BootID string

// ServerID names one backend server.
type ServerID string

// Zone names an availability zone.
type Zone string

// Region names a group of zones.
type Region string

// Service names a service of the site configuration.
type Service string

// GroupID names a group of backend servers in one zone whose leases are
// renewed by one lessor, for example "zone-a/0".
type GroupID string

// MakeGroupID returns the GroupID of the index-th group of a zone.
func MakeGroupID(z Zone, index int) GroupID {
	return GroupID(string(z) + "/" + strconv.Itoa(index))
}

// Zone returns the zone part of the group's name.
func (g GroupID) Zone() Zone {
	zone, _, _ := strings.Cut(string(g), "/")
	return Zone(zone)
}

// Offset is a position in the platform's log. The first record has offset 1;
// 0 means "before everything".
type Offset uint64

// ShardID names a hash range of a service's keys, or, if Key is not empty, one
// hot key that was split out of its shard and is owned separately.
type ShardID struct {
	Service Service
	Index   uint32
	Key     string
}

// String renders the shard as "service/index" or "service/index/key".
func (s ShardID) String() string {
	base := string(s.Service) + "/" + strconv.FormatUint(uint64(s.Index), 10)
	if s.Key == "" {
		return base
	}
	return base + "/" + s.Key
}

// ParseShardID parses the form returned by ShardID.String.
func ParseShardID(text string) (ShardID, error) {
	parts := strings.SplitN(text, "/", 3)
	if len(parts) < 2 || parts[0] == "" {
		return ShardID{}, &ParseError{Kind: "shard", Text: text}
	}
	index, err := strconv.ParseUint(parts[1], 10, 32)
	if err != nil {
		return ShardID{}, &ParseError{Kind: "shard", Text: text}
	}
	id := ShardID{Service: Service(parts[0]), Index: uint32(index)}
	if len(parts) == 3 {
		id.Key = parts[2]
	}
	return id, nil
}

// Ordinal is the common form of Term and Fence: the offset of the record that
// created it, and a rank that orders the ordinals which one record allocates in
// advance. Rank 0 belongs to the lessor or owner that the record names, rank 1 to
// its standby.
type Ordinal struct {
	Offset Offset
	Rank   uint32
}

// IsZero reports whether the ordinal was never assigned.
func (o Ordinal) IsZero() bool { return o == Ordinal{} }

// Compare returns -1, 0 or 1 if o is lower than, equal to or higher than other.
func (o Ordinal) Compare(other Ordinal) int {
	switch {
	case o.Offset < other.Offset:
		return -1
	case o.Offset > other.Offset:
		return 1
	case o.Rank < other.Rank:
		return -1
	case o.Rank > other.Rank:
		return 1
	}
	return 0
}

// Less reports whether o is lower than other.
func (o Ordinal) Less(other Ordinal) bool { return o.Compare(other) < 0 }

// String renders the ordinal as "offset.rank".
func (o Ordinal) String() string {
	return strconv.FormatUint(uint64(o.Offset), 10) + "." + strconv.FormatUint(uint64(o.Rank), 10)
}

func parseOrdinal(kind, text string) (Ordinal, error) {
	offsetText, rankText, found := strings.Cut(text, ".")
	if !found {
		return Ordinal{}, &ParseError{Kind: kind, Text: text}
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Ordinal{}, &ParseError{Kind: kind, Text: text}
	}
	rank, err := strconv.ParseUint(rankText, 10, 32)
	if err != nil {
		return Ordinal{}, &ParseError{Kind: kind, Text: text}
	}
	return Ordinal{Offset: Offset(offset), Rank: uint32(rank)}, nil
}

// Term numbers the lessors of a group. A server that has acknowledged a term
// refuses every lower one.
type Term struct{ Ordinal }

// MakeTerm returns the term allocated by the record at offset with a rank.
func MakeTerm(offset Offset, rank uint32) Term {
	return Term{Ordinal{Offset: offset, Rank: rank}}
}

// ParseTerm parses the form returned by Term.String.
func ParseTerm(text string) (Term, error) {
	o, err := parseOrdinal("term", text)
	return Term{o}, err
}

// Less reports whether t is lower than other.
func (t Term) Less(other Term) bool { return t.Ordinal.Less(other.Ordinal) }

// Standby returns the term that the same record allocated for the standby
// lessor.
func (t Term) Standby() Term { return MakeTerm(t.Offset, t.Rank+1) }

// Fence is the fencing token of a shard's owner. A server serves a shard only
// under the highest fence that it was granted.
type Fence struct{ Ordinal }

// MakeFence returns the fence allocated by the record at offset with a rank.
func MakeFence(offset Offset, rank uint32) Fence {
	return Fence{Ordinal{Offset: offset, Rank: rank}}
}

// ParseFence parses the form returned by Fence.String.
func ParseFence(text string) (Fence, error) {
	o, err := parseOrdinal("fence", text)
	return Fence{o}, err
}

// Less reports whether f is lower than other.
func (f Fence) Less(other Fence) bool { return f.Ordinal.Less(other.Ordinal) }

// Standby returns the fence that the same record allocated for the standby
// server.
func (f Fence) Standby() Fence { return MakeFence(f.Offset, f.Rank+1) }

// ParseError reports a text that is not a valid shard, term or fence.
type ParseError struct {
	Kind string // "shard", "term" or "fence"
	Text string // received text
}

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("%s: cannot read %q", e.Kind, e.Text)
}
