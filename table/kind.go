package table

import (
	"fmt"
	"strings"
)

var kindNames = [...]string{"model", "adapter", "work", "service", "rank"}

// String returns the kind's name as written in the table.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// ParseKind returns the kind with the given name.
func ParseKind(name string) (Kind, error) {
	for i, n := range kindNames {
		if n == name {
			return Kind(i), nil
		}
	}
	return 0, fmt.Errorf("unknown kind %q: want %s", name, strings.Join(kindNames[:], ", "))
}
