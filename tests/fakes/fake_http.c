#include "fake_http.h"

#include "rpc/rpc_stream.h"

#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024

char *fake_http_header(const char *head, const char *name)
{
	gsize len = strlen(name);

	for (const char *line = strstr(head, "\r\n"); line; line = strstr(line + 2, "\r\n")) {
		const char *end = strstr(line + 2, "\r\n");

		if (g_ascii_strncasecmp(line + 2, name, len) == 0 && line[2 + len] == ':')
			return g_strstrip(
				g_strndup(line + 3 + len, end ? (gsize)(end - line - 3 - len)
							      : strlen(line + 3 + len)));
	}
	return NULL;
}

gsize fake_http_message(const GByteArray *data, char **head)
{
	const char *end =
		data->len ? g_strstr_len((const char *)data->data, data->len, "\r\n\r\n") : NULL;
	g_autofree char *length = NULL;
	g_autofree char *text = NULL;
	gsize total;

	if (!end)
		return 0;
	text = g_strndup((const char *)data->data, end - (const char *)data->data);
	length = fake_http_header(text, "Content-Length");
	total = strlen(text) + 4 + (length ? g_ascii_strtoull(length, NULL, 10) : 0);
	if (data->len < total)
		return 0;
	*head = g_steal_pointer(&text);
	return total;
}

static int open_socket(const char *address, struct sockaddr_in *addr)
{
	int on = 1;
	int fd;

	if (!rpc_parse_address(address, addr))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	return fd;
}

int fake_http_listen(const char *address)
{
	struct sockaddr_in addr;
	int fd = open_socket(address, &addr);

	if (fd >= 0 && bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0 &&
	    listen(fd, BACKLOG) == 0)
		return fd;
	if (fd >= 0)
		close(fd);
	return -1;
}

int fake_http_connect(const char *address)
{
	struct sockaddr_in addr;
	int fd = open_socket(address, &addr);

	if (fd >= 0)
		(void)!connect(fd, (struct sockaddr *)&addr, sizeof(addr));
	return fd;
}
