#include "manager/manager_defs.h"

#include "base/codec.h"

#include <string.h>
#include <xxhash.h>

void endpoint_heartbeat_clear(struct endpoint_heartbeat *hb)
{
	g_free(hb->id);
	g_free(hb->address);
	g_free(hb->pool);
	g_free(hb->zone);
	g_free(hb->machine);
	if (hb->labels)
		g_ptr_array_unref(hb->labels);
	memset(hb, 0, sizeof(*hb));
}

bool endpoint_heartbeat_is_plausible(const struct endpoint_heartbeat *hb)
{
	return hb->cpu_milli <= ENDPOINT_CPU_MILLI_MAX && hb->mem_mb <= ENDPOINT_MEM_MB_MAX &&
	       hb->gpu <= ENDPOINT_GPU_MAX && hb->cold_ms <= ENDPOINT_COLD_MS_MAX &&
	       hb->incarnation_wall_ms <= ENDPOINT_NUMBER_MAX &&
	       hb->sequence <= (uint64_t)ENDPOINT_NUMBER_MAX && hb->clock_ms <= ENDPOINT_NUMBER_MAX;
}

static gpointer copy_label(gconstpointer label, gpointer ctx)
{
	(void)ctx;
	return g_strdup(label);
}

struct endpoint_heartbeat *endpoint_heartbeat_copy(const struct endpoint_heartbeat *hb)
{
	struct endpoint_heartbeat *copy = g_new0(struct endpoint_heartbeat, 1);

	*copy = *hb;
	copy->id = g_strdup(hb->id);
	copy->address = g_strdup(hb->address);
	copy->pool = g_strdup(hb->pool);
	copy->zone = g_strdup(hb->zone);
	copy->machine = g_strdup(hb->machine);
	copy->labels = g_ptr_array_copy(hb->labels, copy_label, NULL);
	g_ptr_array_set_free_func(copy->labels, g_free);
	return copy;
}

static void add_text(GByteArray *bytes, const char *text)
{
	g_byte_array_append(bytes, (const guint8 *)text, (guint)strlen(text) + 1);
}

uint64_t endpoint_heartbeat_digest(const struct endpoint_heartbeat *hb)
{
	const uint32_t numbers[] = {hb->cpu_milli, hb->mem_mb, hb->gpu, hb->draining};
	g_autoptr(GByteArray) bytes = g_byte_array_new();

	add_text(bytes, hb->address);
	add_text(bytes, hb->pool);
	add_text(bytes, hb->zone);
	add_text(bytes, hb->machine);
	for (guint i = 0; i < hb->labels->len; i++)
		add_text(bytes, hb->labels->pdata[i]);
	for (guint i = 0; i < G_N_ELEMENTS(numbers); i++) {
		const uint32_t n = GUINT32_TO_BE(numbers[i]);

		g_byte_array_append(bytes, (const guint8 *)&n, sizeof(n));
	}
	return XXH64(bytes->data, bytes->len, hb->labels->len);
}

void call_clear(struct call *c)
{
	g_free(c->host);
	g_free(c->path);
	g_free(c->error);
	codec_free(CODEC_PROC(job_spec), &c->spec);
	codec_free(CODEC_PROC(job_config), &c->config);
	codec_free(CODEC_PROC(job_access), &c->access);
	g_clear_pointer(&c->key, g_bytes_unref);
	codec_free(CODEC_PROC(job_wave), &c->wave);
	endpoint_heartbeat_clear(&c->heartbeat);
	memset(c, 0, sizeof(*c));
}

void order_free(struct order *o)
{
	if (!o)
		return;
	g_free(o->address);
	g_free(o->instance);
	g_free(o->task);
	g_free(o->payload);
	g_free(o->checkpoint);
	g_free(o->ticket);
	g_free(o->machine);
	g_free(o->pool);
	g_free(o->holder);
	g_free(o->page);
	if (o->instances)
		g_ptr_array_unref(o->instances);
	g_free(o);
}

static void running_attempt_clear(void *p)
{
	g_free(((struct running_attempt *)p)->task);
	g_free(((struct running_attempt *)p)->checkpoint);
}

static void completion_record_clear(void *p)
{
	g_free(((struct completion_record *)p)->task);
	g_free(((struct completion_record *)p)->checkpoint);
}

static void machine_row_clear(void *p)
{
	g_free(((struct machine_row *)p)->machine);
	g_free(((struct machine_row *)p)->pool);
	g_free(((struct machine_row *)p)->endpoint);
}

static void advice_row_clear(void *p)
{
	g_free(((struct advice_row *)p)->instance);
	g_free(((struct advice_row *)p)->ticket);
}

static GArray *rows_new(guint size, GDestroyNotify clear)
{
	GArray *rows = g_array_new(FALSE, TRUE, size);

	g_array_set_clear_func(rows, clear);
	return rows;
}

struct order_result *order_result_new(uint64_t id, enum order_status status)
{
	struct order_result *r = g_new0(struct order_result, 1);

	*r = (struct order_result){
		.id = id,
		.status = status,
		.clock_ms = -1,
		.runs = rows_new(sizeof(struct running_attempt), running_attempt_clear),
		.completions = rows_new(sizeof(struct completion_record), completion_record_clear),
		.machines = rows_new(sizeof(struct machine_row), machine_row_clear),
		.advice = rows_new(sizeof(struct advice_row), advice_row_clear),
	};
	return r;
}

void order_result_free(struct order_result *r)
{
	g_array_unref(r->runs);
	g_array_unref(r->completions);
	g_array_unref(r->machines);
	g_array_unref(r->advice);
	g_free(r->next_page);
	g_free(r);
}

void effect_free(void *p)
{
	struct effect *e = p;

	switch (e->type) {
	case EFFECT_PROPOSE:
		g_bytes_unref(e->u.command);
		break;
	case EFFECT_REPLY:
		if (e->u.reply.reply.content == REPLY_DOCUMENT)
			g_bytes_unref(e->u.reply.reply.u.document);
		break;
	case EFFECT_ORDER:
		order_free(e->u.order);
		break;
	}
	g_free(e);
}

bool order_is_stale(const struct order *o, clock_ms_t now)
{
	return now > o->not_after;
}

bool order_had_no_effect(enum order_status status)
{
	switch (status) {
	case ORDER_NOT_SENT:
	case ORDER_FENCED:
	case ORDER_SUPERSEDED:
	case ORDER_LEASE_EXPIRED:
	case ORDER_NO_CAPACITY:
	case ORDER_INVALID_TICKET:
	case ORDER_WRONG_INSTANCE:
	case ORDER_TRY_LATER:
	case ORDER_REJECTED:
	case ORDER_MACHINE_BUSY:
	case ORDER_MACHINE_NOT_IN_WAVE:
		return true;
	case ORDER_OK:
	case ORDER_NO_ANSWER:
		return false;
	}
	return false;
}
