package accept

import "golang.org/x/sys/unix"

// FileDescriptors is how many of a process's descriptors are reserved for files, as the
// platform does.
const FileDescriptors = 200

// DescriptorLimit returns the limit on the descriptors of this process, at most the given
// number.
func DescriptorLimit(most int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > uint64(most) {
		return most
	}
	return int(limit.Cur)
}
