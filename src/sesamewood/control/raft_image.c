#include "control/raft_image.h"

#include "base/codec.h"

#include <string.h>

bool raft_image_init(struct raft_image *to, uint64_t index, uint64_t term,
		     const sw_members *members, GBytes *data)
{
	memset(to, 0, sizeof(*to));
	if (!codec_copy(CODEC_PROC(sw_members), members, &to->members, sizeof(to->members)))
		return false;
	to->index = index;
	to->term = term;
	to->data = data ? g_bytes_ref(data) : NULL;
	return true;
}

bool raft_image_copy(const struct raft_image *from, struct raft_image *to)
{
	return raft_image_init(to, from->index, from->term, &from->members, from->data);
}

void raft_image_clear(struct raft_image *image)
{
	codec_free(CODEC_PROC(sw_members), &image->members);
	g_clear_pointer(&image->data, g_bytes_unref);
	memset(image, 0, sizeof(*image));
}
