// Package splitmix provides the finaliser of the splitmix64 hash.
package splitmix

// Mix returns the splitmix64 finaliser of x. It is a bijection in which a change of any
// bit of x affects all bits of the result.
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
