#include "sched/interference.h"

#include "base/log.h"
#include "base/metrics.h"
#include "sched/pace.h"

#include <math.h>
#include <string.h>

#define PAIRS_MAX 512  /* about 100 KB; more pairs than are sampled often enough to be believed */
#define IMAGES_MAX 512 /* more than twice the images of the largest deployment */
#define ENDPOINTS_MAX 2048 /* nearly twice the endpoints of the largest deployment */
#define RECENT 16	   /* samples remembered by endpoint, about 1 MB for all endpoints */
#define SOURCES 4	   /* endpoints remembered by pair; two are needed */

/// Samples of an endpoint that tell of its own slowing.
#define RECENT_AGE_MAX_MS 10000
/// Samples that tell how fast an endpoint is; a single one may be off by half.
#define REFERENCES_MIN 2
/// Effects change within seconds: a sample counts half after this time.
#define HALF_LIFE_MS 5000.0
/// A belief without a sample for two half-lives is dropped, so that the pair is tried again.
#define BELIEF_AGE_MAX_MS 10000
/// Below it, the variance is not known well enough for a confidence bound.
#define SAMPLES_MIN 8.0
/// A second endpoint must have given so many samples: chance or one slow endpoint is no pair.
#define SOURCE_SAMPLES_MIN 2.0
/// Weight of one estimate at most, so that a reversed effect is seen within seconds.
#define WEIGHT_MAX 32.0
/// Standard errors below the mean: 512 pairs are tested continuously, and samples of one endpoint
/// are not independent.
#define CONFIDENCE_Z 4.0
/// Run times vary by several percent at least; guards against equal samples in a row.
#define DEVIATION_MIN 0.1
/// Limit of a sample against the mean of its image: one task that is slow by itself must not
/// decide.
#define DEVIATION_MAX 1.4  /* factor 4 */
#define FORM_PERCENT 120.0 /* lower confidence bound; less is not worth a worse packing */
#define DROP_PERCENT 110.0 /* of the mean; below FORM_PERCENT, so that beliefs do not flap */
#define LOG_LINES_PER_S 10
#define MS_PER_S 1000
#define PPM 1000000

/// Decayed count, sum and sum of squares of logarithms of percent.
struct moments {
	double n, sum, squares;
};

struct image_entry {
	uint64_t key;
	char *text;
	clock_ms_t used_at;
	clock_ms_t decayed_at;
	struct moments all; ///< less the effects of the bad pairs in force
};

struct pair_entry {
	uint64_t victim, neighbour;
	char *victim_image;
	char *neighbour_image; ///< "" if unknown
	GList link;	       ///< in by_use
	clock_ms_t decayed_at;
	struct moments beside; ///< less the effects of other bad pairs
	struct moments in_all; ///< the same samples as counted in the image's moments
	struct {
		uint64_t endpoint;
		double n, sum; ///< of the samples in beside
	} sources[SOURCES];
	bool believed;
	clock_ms_t formed_at;
	clock_ms_t sampled_at;
	double effect; ///< of the believed pair, logarithm
};

struct endpoint_entry {
	uint64_t key;
	clock_ms_t used_at;
	unsigned int next; ///< index of the oldest sample
	struct {
		uint64_t image;
		uint64_t neighbours; ///< set of neighbour_bit()
		double deviation;    ///< from the mean of the image
		clock_ms_t at;
	} recent[RECENT];
};

struct interference {
	GHashTable *images;    ///< struct image_entry by key; owned
	GHashTable *pairs;     ///< struct pair_entry as a set; owned
	GHashTable *endpoints; ///< struct endpoint_entry by key; owned
	GQueue by_use;	       ///< struct pair_entry, the least recently used first
	GPtrArray *beliefs;    ///< struct pair_entry, borrowed
	GArray *changes;
	/* Log and metrics of the manager. */
	clock_ms_t log_period_at;
	unsigned int lines;
	uint64_t left_out;
	struct metric *held;
	struct metric *moved;
};

static guint pair_hash(gconstpointer p)
{
	const struct pair_entry *pair = p;
	uint64_t mixed = pair->victim * 31 + pair->neighbour;

	return (guint)(mixed ^ (mixed >> 32));
}

static gboolean pair_equal(gconstpointer a, gconstpointer b)
{
	const struct pair_entry *p = a;
	const struct pair_entry *q = b;

	return p->victim == q->victim && p->neighbour == q->neighbour;
}

static void image_free(gpointer p)
{
	struct image_entry *image = p;

	g_free(image->text);
	g_free(image);
}

static void pair_free(gpointer p)
{
	struct pair_entry *pair = p;

	g_free(pair->victim_image);
	g_free(pair->neighbour_image);
	g_free(pair);
}

static void change_clear(gpointer p)
{
	struct interference_change *c = p;

	g_free(c->victim);
	g_free(c->neighbour);
}

static GArray *new_changes(void)
{
	GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct interference_change));

	g_array_set_clear_func(changes, change_clear);
	return changes;
}

struct interference *interference_new(void)
{
	struct interference *x = g_new0(struct interference, 1);

	x->images = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, image_free);
	x->pairs = g_hash_table_new_full(pair_hash, pair_equal, NULL, pair_free);
	x->endpoints = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	x->beliefs = g_ptr_array_new();
	x->changes = new_changes();
	x->held = metrics_get(METRIC_GAUGE, "sesamewood_interference_beliefs", "",
			      "Pairs of images that are believed to slow each other.");
	x->moved = metrics_get(METRIC_COUNTER, "sesamewood_interference_placements_total", "",
			       "Placements that a belief has changed.");
	return x;
}

void interference_free(struct interference *x)
{
	g_hash_table_unref(x->images);
	g_hash_table_unref(x->pairs);
	g_hash_table_unref(x->endpoints);
	g_ptr_array_unref(x->beliefs);
	g_array_unref(x->changes);
	g_free(x);
}

uint64_t interference_key(const char *image)
{
	uint64_t hash = 14695981039346656037ULL; /* FNV-1a */

	if (!*image)
		return 0;
	for (const char *c = image; *c; c++)
		hash = (hash ^ (unsigned char)*c) * 1099511628211ULL;
	return hash ? hash : 1;
}

/* Decay. */

static double decay_factor(clock_ms_t *decayed_at, clock_ms_t now)
{
	clock_ms_t passed_ms = MAX(now - *decayed_at, 0);

	*decayed_at = MAX(now, *decayed_at);
	return passed_ms ? exp2(-(double)passed_ms / HALF_LIFE_MS) : 1;
}

static void scale(struct moments *m, double factor)
{
	m->n *= factor;
	m->sum *= factor;
	m->squares *= factor;
}

static void add(struct moments *m, double value)
{
	m->n++;
	m->sum += value;
	m->squares += value * value;
}

static double mean(const struct moments *m)
{
	return m->n > 0 ? m->sum / m->n : 0;
}

static double variance(const struct moments *m)
{
	double center = mean(m);

	return m->n > 0 ? MAX(m->squares / m->n - center * center, 0) : 0;
}

static void decay_pair(struct pair_entry *p, clock_ms_t now)
{
	double factor = decay_factor(&p->decayed_at, now);

	scale(&p->beside, factor);
	scale(&p->in_all, factor);
	for (unsigned int i = 0; i < SOURCES; i++) {
		p->sources[i].n *= factor;
		p->sources[i].sum *= factor;
	}
}

/* Beliefs. */

static void note_change(struct interference *x, const struct pair_entry *p, bool formed,
			clock_ms_t age_ms)
{
	struct interference_change c = {
		.formed = formed,
		.victim = g_strdup(p->victim_image),
		.neighbour = g_strdup(p->neighbour_image),
		.slowing_percent = (uint32_t)CLAMP(lround((exp(p->effect) - 1) * 100), 0, 100000),
		.samples = (uint32_t)lround(p->beside.n),
		.age_ms = age_ms,
	};

	g_array_append_val(x->changes, c);
}

static void drop_belief(struct interference *x, struct pair_entry *p, clock_ms_t now)
{
	p->believed = false;
	g_ptr_array_remove_fast(x->beliefs, p);
	note_change(x, p, false, now - p->formed_at);
}

/// Tells whether the effect is seen at two endpoints or more.
static bool has_two_sources(const struct pair_entry *p, double elsewhere)
{
	unsigned int sources = 0;

	for (unsigned int i = 0; i < SOURCES; i++)
		sources +=
			p->sources[i].n >= SOURCE_SAMPLES_MIN &&
			p->sources[i].sum / p->sources[i].n - elsewhere > log(FORM_PERCENT / 100);
	return sources >= 2;
}

/// Compares the samples of the victim beside the neighbour with its others.
static void judge_pair(struct interference *x, struct pair_entry *p,
		       const struct image_entry *image, clock_ms_t now)
{
	struct moments elsewhere = {
		.n = image->all.n - p->in_all.n,
		.sum = image->all.sum - p->in_all.sum,
		.squares = image->all.squares - p->in_all.squares,
	};
	double deviation;
	double error;

	if (elsewhere.n < SAMPLES_MIN / 2 || p->beside.n < SAMPLES_MIN / 2)
		return;
	p->effect = mean(&p->beside) - mean(&elsewhere);
	if (p->believed) {
		if (p->effect < log(DROP_PERCENT / 100))
			drop_belief(x, p, now);
		return;
	}
	if (p->beside.n < SAMPLES_MIN || elsewhere.n < SAMPLES_MIN ||
	    !has_two_sources(p, mean(&elsewhere)))
		return;
	deviation = MAX(variance(&p->beside), variance(&elsewhere));
	deviation = MAX(deviation, DEVIATION_MIN * DEVIATION_MIN);
	error = sqrt(deviation / p->beside.n + deviation / elsewhere.n);
	if (p->effect - CONFIDENCE_Z * error < log(FORM_PERCENT / 100))
		return;
	p->believed = true;
	p->formed_at = now;
	g_ptr_array_add(x->beliefs, p);
	note_change(x, p, true, now - p->sampled_at);
}

/* Entries, of which the least recently used are replaced. */

static void evict_image(struct interference *x)
{
	struct image_entry *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, x->images);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct image_entry *image = value;

		if (!oldest || image->used_at < oldest->used_at ||
		    (image->used_at == oldest->used_at && image->key < oldest->key))
			oldest = image;
	}
	g_hash_table_remove(x->images, &oldest->key);
}

static struct image_entry *touch_image(struct interference *x, clock_ms_t now, const char *text)
{
	uint64_t key = interference_key(text);
	struct image_entry *image = g_hash_table_lookup(x->images, &key);

	if (!image) {
		if (g_hash_table_size(x->images) >= IMAGES_MAX)
			evict_image(x);
		image = g_new0(struct image_entry, 1);
		*image =
			(struct image_entry){.key = key, .text = g_strdup(text), .decayed_at = now};
		g_hash_table_insert(x->images, &image->key, image);
	}
	image->used_at = now;
	return image;
}

static void evict_pair(struct interference *x, clock_ms_t now)
{
	struct pair_entry *oldest = g_queue_peek_head(&x->by_use);

	if (oldest->believed)
		drop_belief(x, oldest, now);
	g_queue_unlink(&x->by_use, &oldest->link);
	g_hash_table_remove(x->pairs, oldest);
}

static struct pair_entry *touch_pair(struct interference *x, clock_ms_t now,
				     const struct image_entry *victim, uint64_t neighbour)
{
	const struct pair_entry wanted = {.victim = victim->key, .neighbour = neighbour};
	struct pair_entry *p = g_hash_table_lookup(x->pairs, &wanted);

	if (!p) {
		const struct image_entry *other = g_hash_table_lookup(x->images, &neighbour);

		if (g_hash_table_size(x->pairs) >= PAIRS_MAX)
			evict_pair(x, now);
		p = g_new0(struct pair_entry, 1);
		*p = wanted;
		p->victim_image = g_strdup(victim->text);
		p->neighbour_image = g_strdup(other ? other->text : "");
		p->decayed_at = now;
		p->link.data = p;
		g_hash_table_add(x->pairs, p);
	} else {
		g_queue_unlink(&x->by_use, &p->link);
	}
	g_queue_push_tail_link(&x->by_use, &p->link);
	decay_pair(p, now);
	return p;
}

static void evict_endpoint(struct interference *x)
{
	struct endpoint_entry *oldest = NULL;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, x->endpoints);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct endpoint_entry *e = value;

		if (!oldest || e->used_at < oldest->used_at ||
		    (e->used_at == oldest->used_at && e->key < oldest->key))
			oldest = e;
	}
	g_hash_table_remove(x->endpoints, &oldest->key);
}

static struct endpoint_entry *touch_endpoint(struct interference *x, clock_ms_t now, uint64_t key)
{
	struct endpoint_entry *e = g_hash_table_lookup(x->endpoints, &key);

	if (!e) {
		if (g_hash_table_size(x->endpoints) >= ENDPOINTS_MAX)
			evict_endpoint(x);
		e = g_new0(struct endpoint_entry, 1);
		*e = (struct endpoint_entry){.key = key};
		g_hash_table_insert(x->endpoints, &e->key, e);
	}
	e->used_at = now;
	return e;
}

static uint64_t neighbour_bit(uint64_t image)
{
	return 1ULL << ((image ^ image >> 32) % 64);
}

/// What recent samples of an endpoint tell of its own slowing; logarithms.
struct reference {
	unsigned int n;
	double sum;
};

/// Few samples count little.
static double reference_mean(const struct reference *r)
{
	return r->sum / (r->n + 1);
}

/// Collects the samples of an endpoint that the effect of a pair is compared with. Those of other
/// images beside the neighbour count only for lack of others: the neighbour may slow all images,
/// but an endpoint that is slow for all must not be taken for a pair.
static struct reference find_reference(const struct endpoint_entry *e, clock_ms_t now,
				       uint64_t victim, uint64_t neighbour)
{
	struct reference clean = {0};
	struct reference all = {0};

	for (unsigned int i = 0; i < RECENT; i++) {
		uint64_t image = e->recent[i].image;
		bool beside = e->recent[i].neighbours & neighbour_bit(neighbour);
		bool beside_victim = e->recent[i].neighbours & neighbour_bit(victim);

		if (!image || now - e->recent[i].at > RECENT_AGE_MAX_MS ||
		    (image == victim && beside) || (image == neighbour && beside_victim))
			continue;
		all.n++;
		all.sum += e->recent[i].deviation;
		if (beside)
			continue;
		clean.n++;
		clean.sum += e->recent[i].deviation;
	}
	return clean.n >= REFERENCES_MIN ? clean : all;
}

/// @return mean slowing at an endpoint by the samples of other images
static double endpoint_slowing(const struct endpoint_entry *e, clock_ms_t now, uint64_t victim)
{
	struct reference r = {0};

	for (unsigned int i = 0; i < RECENT; i++) {
		if (!e->recent[i].image || e->recent[i].image == victim ||
		    now - e->recent[i].at > RECENT_AGE_MAX_MS)
			continue;
		r.n++;
		r.sum += e->recent[i].deviation;
	}
	return reference_mean(&r);
}

static void add_to_endpoint(struct endpoint_entry *e, clock_ms_t now, uint64_t image,
			    const struct interference_sample *s, double deviation)
{
	uint64_t neighbours = 0;

	for (unsigned int i = 0; i < s->n_neighbours; i++)
		neighbours |= neighbour_bit(s->neighbours[i]);
	e->recent[e->next].image = image;
	e->recent[e->next].neighbours = neighbours;
	e->recent[e->next].deviation = deviation;
	e->recent[e->next].at = now;
	e->next = (e->next + 1) % RECENT;
}

static void add_source(struct pair_entry *p, uint64_t endpoint, double value)
{
	unsigned int at = 0;

	for (unsigned int i = 0; i < SOURCES; i++) {
		if (p->sources[i].endpoint == endpoint) {
			at = i;
			break;
		}
		if (p->sources[i].n < p->sources[at].n)
			at = i;
	}
	if (p->sources[at].endpoint != endpoint) {
		p->sources[at].endpoint = endpoint;
		p->sources[at].n = 0;
		p->sources[at].sum = 0;
	}
	p->sources[at].n++;
	p->sources[at].sum += value;
}

static double believed_effect(const struct interference *x, uint64_t victim, uint64_t neighbour)
{
	const struct pair_entry wanted = {.victim = victim, .neighbour = neighbour};
	const struct pair_entry *p =
		x->beliefs->len ? g_hash_table_lookup(x->pairs, &wanted) : NULL;

	return p && p->believed ? p->effect : 0;
}

void interference_add(struct interference *x, clock_ms_t now, const struct interference_sample *s)
{
	struct image_entry *image;
	struct endpoint_entry *endpoint;
	uint64_t endpoint_key = interference_key(s->endpoint);
	double center;
	double value;
	double others;
	double explained = 0;

	if (!*s->image || s->ratio_ppm <= 0)
		return;
	image = touch_image(x, now, s->image);
	endpoint = touch_endpoint(x, now, endpoint_key);
	scale(&image->all, decay_factor(&image->decayed_at, now));
	value = log((double)s->ratio_ppm);
	center = image->all.n >= 1 ? mean(&image->all) : value;
	value = CLAMP(value, center - DEVIATION_MAX, center + DEVIATION_MAX);
	for (unsigned int i = 0; i < s->n_neighbours; i++)
		explained += believed_effect(x, image->key, s->neighbours[i]);
	others = value - explained - endpoint_slowing(endpoint, now, image->key);
	add(&image->all, others);
	for (unsigned int i = 0; i < s->n_neighbours; i++) {
		uint64_t neighbour = s->neighbours[i];
		struct pair_entry *p = touch_pair(x, now, image, neighbour);
		struct reference reference = find_reference(endpoint, now, image->key, neighbour);
		double beside;

		if (p->beside.n > WEIGHT_MAX)
			scale(&p->beside, WEIGHT_MAX / p->beside.n);
		add(&p->in_all, others);
		/* Nothing tells how fast the endpoint is. A serving task may be alone with its
		 * neighbour for long, so its figures count all the same. */
		if (reference.n < REFERENCES_MIN && !s->is_latency)
			continue;
		beside = value - explained + believed_effect(x, image->key, neighbour) -
			 reference_mean(&reference);
		add(&p->beside, beside);
		add_source(p, endpoint_key, beside);
		p->sampled_at = now;
	}
	for (unsigned int i = 0; i < s->n_neighbours; i++)
		judge_pair(x, touch_pair(x, now, image, s->neighbours[i]), image, now);
	add_to_endpoint(endpoint, now, image->key, s, value - explained - center);
}

void interference_expire(struct interference *x, clock_ms_t now)
{
	for (guint i = x->beliefs->len; i > 0; i--) {
		struct pair_entry *p = x->beliefs->pdata[i - 1];

		if (now - p->sampled_at <= BELIEF_AGE_MAX_MS)
			continue;
		decay_pair(p, now);
		drop_belief(x, p, now);
		/* Formed again only from new samples. */
		if (p->beside.n > SAMPLES_MIN / 2)
			scale(&p->beside, SAMPLES_MIN / 2 / p->beside.n);
	}
}

GArray *interference_bad_images(const struct interference *x, uint64_t image)
{
	GArray *bad = NULL;

	for (guint i = 0; image && i < x->beliefs->len; i++) {
		const struct pair_entry *p = x->beliefs->pdata[i];

		if (p->victim != image && p->neighbour != image)
			continue;
		if (!bad)
			bad = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_array_append_val(bad, *(p->victim == image ? &p->neighbour : &p->victim));
	}
	return bad;
}

unsigned int interference_count_pairs(const struct interference *x)
{
	return g_hash_table_size(x->pairs);
}

unsigned int interference_count(const struct interference *x)
{
	return x->beliefs->len;
}

GArray *interference_take_changes(struct interference *x)
{
	GArray *changes = x->changes;

	x->changes = new_changes();
	return changes;
}

/* Use by the manager. */

static const char *image_of(const struct run *r)
{
	return r->job->image.spec.steps.steps_val[r->ref.step].image;
}

static void add_neighbour(struct interference_sample *s, uint64_t image)
{
	for (unsigned int i = 0; i < s->n_neighbours; i++)
		if (s->neighbours[i] == image)
			return;
	if (image && s->n_neighbours < INTERFERENCE_NEIGHBOURS_MAX)
		s->neighbours[s->n_neighbours++] = image;
}

static clock_ms_t overlap_ms(const struct run *a, const struct run *b, clock_ms_t now)
{
	return MAX(now - MAX(a->started_at, b->started_at), 0);
}

/// Adds the time that an attempt shared with one that has ended. The image with the least time is
/// replaced by others.
static void note_beside(struct run *r, uint64_t image_key, clock_ms_t shared_ms)
{
	unsigned int at = 0;

	for (unsigned int i = 0; i < RUN_BESIDE_MAX; i++) {
		if (r->beside[i].image_key == image_key) {
			r->beside[i].ms += shared_ms;
			return;
		}
		if (r->beside[i].ms < r->beside[at].ms)
			at = i;
	}
	if (shared_ms <= r->beside[at].ms)
		return;
	r->beside[at].image_key = image_key;
	r->beside[at].ms = shared_ms;
}

/// Tells whether the run time of an attempt is its own: not that of a gang, of a best-effort task
/// at a reduced pace, of a part after a checkpoint, or in part unknown.
static bool has_own_run_time(const struct run *r)
{
	return r->estimate_ms && !r->long_running && !r->best_effort && !r->gang && !r->inherited &&
	       !*r->checkpoint && !r->started_cold;
}

void interference_record_end(struct manager *m, clock_ms_t now, const struct run *run, bool done)
{
	struct interference_sample s = {.endpoint = run->endpoint->id};
	clock_ms_t length_ms = now - run->started_at;
	GPtrArray *runs = run->endpoint->runs;

	if (!m->interference || !run->image_key)
		return;
	s.image = image_of(run);
	touch_image(m->interference, now, s.image);
	for (guint i = 0; i < runs->len; i++) {
		struct run *r = runs->pdata[i];
		clock_ms_t shared_ms = overlap_ms(run, r, now);

		if (r == run || !r->image_key)
			continue;
		if (shared_ms * 100 >= length_ms * INTERFERENCE_OVERLAP_PERCENT) {
			touch_image(m->interference, now, image_of(r));
			add_neighbour(&s, r->image_key);
		}
		note_beside(r, run->image_key, shared_ms);
	}
	if (!done || !has_own_run_time(run) || length_ms <= 0)
		return;
	for (unsigned int i = 0; i < RUN_BESIDE_MAX; i++)
		if (run->beside[i].ms * 100 >= length_ms * INTERFERENCE_OVERLAP_PERCENT)
			add_neighbour(&s, run->beside[i].image_key);
	s.ratio_ppm = length_ms * PPM / run->estimate_ms;
	interference_add(m->interference, now, &s);
}

/// Tells whether pace reduces the effect of a best-effort task at an endpoint, so that figures tell
/// nothing of what the task would do elsewhere.
static bool is_paced(const struct endpoint *e)
{
	for (guint i = 0; i < e->runs->len; i++) {
		const struct run *r = e->runs->pdata[i];

		if (r->best_effort && r->pace < PACE_FULL)
			return true;
	}
	return false;
}

void interference_record_status(struct manager *m, clock_ms_t now, struct endpoint *e,
				uint64_t query)
{
	if (!m->interference || !e->latency_sensitive || now < e->cold_until || is_paced(e))
		return;
	for (guint i = 0; i < e->runs->len; i++) {
		struct run *r = e->runs->pdata[i];
		struct interference_sample s = {.endpoint = e->id};

		if (r->listed_by != query || !r->image_key || !r->target_ms || r->usage <= 0 ||
		    now - r->started_at < INTERFERENCE_WINDOW_MS ||
		    now - r->latency_sampled_at < INTERFERENCE_WINDOW_MS)
			continue;
		r->latency_sampled_at = now;
		s.image = image_of(r);
		for (guint k = 0; k < e->runs->len; k++) {
			const struct run *other = e->runs->pdata[k];

			if (other == r || !other->image_key ||
			    now - other->started_at < INTERFERENCE_WINDOW_MS)
				continue;
			touch_image(m->interference, now, image_of(other));
			add_neighbour(&s, other->image_key);
		}
		s.is_latency = true;
		s.ratio_ppm = r->usage * PPM / r->target_ms;
		interference_add(m->interference, now, &s);
	}
}

static void log_change(struct interference *x, clock_ms_t now, const struct interference_change *c)
{
	if (now - x->log_period_at >= MS_PER_S) {
		x->log_period_at = now;
		x->lines = 0;
	}
	if (x->lines >= LOG_LINES_PER_S) {
		x->left_out++;
		return;
	}
	x->lines++;
	log_info(c->formed ? "tasks of two images slow each other; they are placed apart"
			   : "two images are no longer placed apart",
		 "IMAGE", c->victim, "BESIDE", c->neighbour, "SLOWING_PERCENT",
		 log_number(c->slowing_percent), "SAMPLES", log_number(c->samples), "AGE_MS",
		 log_number((guint64)MAX(c->age_ms, 0)), "LEFT_OUT", log_number(x->left_out));
	x->left_out = 0;
}

void interference_start_round(struct manager *m, clock_ms_t now)
{
	g_autoptr(GArray) changes = NULL;

	if (!m->interference)
		return;
	interference_expire(m->interference, now);
	metrics_set(m->interference->held, m->interference->beliefs->len);
	if (!m->interference->changes->len)
		return;
	changes = interference_take_changes(m->interference);
	for (guint i = 0; i < changes->len; i++)
		log_change(m->interference, now,
			   &g_array_index(changes, struct interference_change, i));
}

GArray *interference_avoid(const struct manager *m, const job_step *step)
{
	if (!m->interference || !m->interference->beliefs->len)
		return NULL;
	return interference_bad_images(m->interference, interference_key(step->image));
}

void interference_count_moved(struct manager *m)
{
	metrics_add(m->interference->moved, 1);
}
