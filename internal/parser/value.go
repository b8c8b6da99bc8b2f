package parser

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azuretrestle/azuretrestle/pkg/patcher"
)

func parseAddress(s string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return a, errors.Errorf("%q is not an IP address and port", s)
	}
	if a.Port() == 0 {
		return a, errors.Errorf("%q has port 0", s)
	}
	return a, nil
}

func parseAddresses(s string) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for part := range strings.SplitSeq(s, ",") {
		a, err := parseAddress(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		list = append(list, a)
	}
	return list, nil
}

func parseName(s string) (string, error) {
	if !patcher.ValidName(s) {
		return "", errors.Errorf("%q is not a name of 1 to 63 letters, digits, dots, underscores and hyphens", s)
	}
	return s, nil
}

func parsePeriod(s string, minValue, maxValue time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Errorf("%q is not a period such as 500ms or 5s", s)
	}
	if d < minValue || d > maxValue {
		return 0, errors.Errorf("%s is not between %s and %s", d, minValue, maxValue)
	}
	return d, nil
}

func parseInt(s string, minValue, maxValue int64) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a whole number", s)
	}
	if n < minValue || n > maxValue {
		return 0, errors.Errorf("%d is not between %d and %d", n, minValue, maxValue)
	}
	return n, nil
}

func parseFloat(s string, minValue, maxValue float64) (float64, error) {
	x, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, errors.Errorf("%q is not a number", s)
	}
	if !(x >= minValue && x <= maxValue) {
		return 0, errors.Errorf("%v is not between %v and %v", x, minValue, maxValue)
	}
	return x, nil
}

func parseBool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, errors.Errorf("%q is not true or false", s)
	}
}
