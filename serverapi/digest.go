package serverapi

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	hexBase        = 16
	fieldSeparator = "\x00"
	grantSeparator = "\x01"
)

// GrantsDigest returns a digest of a list of grants that is independent of the
// order of the grants and of their excepted keys. It lets a lessor compare its
// grants with those that the server holds without transferring the whole list.
func GrantsDigest(grants []Grant) string {
	lines := make([]string, 0, len(grants))
	for _, grant := range grants {
		except := slices.Sorted(slices.Values(grant.Except))
		fields := append([]string{grant.Shard, grant.Fence}, except...)
		lines = append(lines, strings.Join(fields, fieldSeparator))
	}
	slices.Sort(lines)
	sum := xxhash.Sum64String(strings.Join(lines, grantSeparator))
	return strconv.FormatUint(sum, hexBase)
}
