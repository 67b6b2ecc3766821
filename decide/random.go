package decide

// mix is the finaliser of SplitMix64: a bijection whose outputs appear
// independent for inputs that differ in one bit.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// unit maps x to [0, 1).
func unit(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// below maps x to 0..n-1; n must be above 0.
func below(x uint64, n int) int { return int((x >> 32) * uint64(n) >> 32) }

// hashStrings applies mix to the 64-bit FNV-1a hash of a, a separator and b.
func hashStrings(a, b string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := 0; i < len(a); i++ {
		h = (h ^ uint64(a[i])) * prime
	}
	h = (h ^ 0xff) * prime
	for i := 0; i < len(b); i++ {
		h = (h ^ uint64(b[i])) * prime
	}
	return mix(h)
}
