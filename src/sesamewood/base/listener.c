#include "base/listener.h"

#include "base/lifecycle.h"
#include "base/log.h"
#include "base/options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS_MIN 8 /* of a listener, with a very low descriptor limit */
#define PERCENT 100
#define KERNEL_BUFFER_FACTOR 2 /* the kernel doubles the sizes that it is given, socket(7) */

uint32_t listener_connections(uint32_t fds_max, uint32_t percent)
{
	struct rlimit limit;
	uint64_t fds = fds_max ? fds_max : UINT32_MAX;

	if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < fds)
		fds = limit.rlim_cur;
	return (uint32_t)MAX(fds * percent / PERCENT, CONNECTIONS_MIN);
}

void listener_bound_buffers(int fd, uint32_t bytes)
{
	int value = (int)(bytes / KERNEL_BUFFER_FACTOR);

	/* A small send buffer would hold less than two segments on links with large ones, so that
	 * each answer would wait for delayed acknowledgements. */
	if (setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value)) < 0 ||
	    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &value, sizeof(value)) < 0)
		log_warning("cannot bound the buffers of connections", "ERROR", g_strerror(errno));
}

uint64_t listener_connection_memory(int fd)
{
	uint32_t info[SK_MEMINFO_VARS] = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, SOL_SOCKET, SO_MEMINFO, info, &len) < 0)
		return 0;
	return (uint64_t)info[SK_MEMINFO_RMEM_ALLOC] + info[SK_MEMINFO_WMEM_QUEUED];
}

static int open_once(const struct sockaddr_in *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	int on = 1;
	int error;

	if (fd < 0)
		return -1;
	/* SO_REUSEPORT would give a part of the connections to a process that is stopping or stuck.
	 */
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0 &&
	    bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) == 0 &&
	    listen(fd, SOMAXCONN) == 0)
		return fd;
	error = errno;
	close(fd);
	errno = error;
	return -1;
}

int listener_open(const char *address, clock_ms_t wait_ms)
{
	g_autofree char *host = NULL;
	struct sockaddr_in addr = {.sin_family = AF_INET};
	struct lifecycle_wait wait = {.what = address, .max_ms = wait_ms};
	uint16_t port;
	int fd;

	if (!options_split_address(address, &host, &port) ||
	    inet_pton(AF_INET, host, &addr.sin_addr) != 1) {
		errno = EINVAL;
		return -1;
	}
	addr.sin_port = htons(port);
	while ((fd = open_once(&addr)) < 0) {
		int error = errno;

		if ((error != EADDRINUSE && error != EADDRNOTAVAIL) ||
		    !lifecycle_wait(&wait, g_strerror(error))) {
			errno = error;
			return -1;
		}
	}
	lifecycle_wait_done(&wait);
	return fd;
}
