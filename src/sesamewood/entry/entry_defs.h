#ifndef SESAMEWOOD_ENTRY_DEFS_H
#define SESAMEWOOD_ENTRY_DEFS_H

/// @file
/// State, events and effects of an entry, shared by the parts of its reducer.

#include "base/clock.h"
#include "base/tables.h"
#include "base/verdict.h"
#include "rpc/generated/sesamewood.h"

#define ENTRY_TRIED_MAX 4
#define ENTRY_NO_INSTANCE UINT32_MAX

struct entry_settings {
	char *name;
	uint64_t session;	  ///< random, differs at every start
	char *address;		  ///< own RPC address
	uint32_t renew_ms;	  ///< interval of lease renewals
	uint32_t loan_ms;	  ///< longest use of a borrowed slot
	uint32_t loan_margin_ms;  ///< added by the lender for differing clock rates
	uint32_t deadline_max_ms; ///< longest deadline of any route
	uint32_t eject_failures;  ///< failures in a row that eject an instance
	uint32_t eject_ms;
	uint32_t retry_percent; ///< retries allowed per 100 successes
};

/// An endpoint instance as this entry sees it.
struct instance {
	sw_instance record;
	bool known;	   ///< part of the current view
	bool leaving;	   ///< heard that it leaves, possibly before control
	uint32_t in_use;   ///< own requests that run on it
	uint32_t lent;	   ///< slots lent to other entries
	uint32_t failures; ///< in a row
	double success;	   ///< moving average, 0 to 1
	clock_ms_t ejected_until;
	bool heard; ///< announced itself since the last report
};

/// A slot that another entry lent to this one.
struct held_loan {
	uint64_t id;
	char *lender; ///< RPC address
	char *instance;
	char *address;
	uint64_t epoch;
	clock_ms_t expires_at;
	bool in_use;
};

/// A slot lent to another entry.
struct given_loan {
	uint64_t id;
	uint32_t instance;
	clock_ms_t until;
};

enum waiter_type {
	WAITER_REQUEST,
	WAITER_LOAN,
};

struct request;

/// Something that waits for a slot of a pool.
struct waiter {
	enum waiter_type type;
	clock_ms_t since;
	union {
		struct request *request;
		struct {
			uint64_t token;
			uint32_t count;
			clock_ms_t until;
		} loan;
	} u;
};

struct pool_state {
	char *name;
	GQueue waiters;	    ///< of struct waiter, oldest first
	GPtrArray *owned;   ///< struct instance that this entry may dispatch to
	GPtrArray *loans;   ///< struct held_loan
	uint32_t in_use;    ///< own requests that run
	uint32_t borrowing; ///< open calls to peers
	uint32_t next_peer;
	clock_ms_t borrow_at;	 ///< not before
	clock_ms_t queued_since; ///< requests have waited without a break; 0: none waits
};

enum request_state {
	REQUEST_CLAIMING,
	REQUEST_QUEUED,
	REQUEST_RUNNING,
};

struct request {
	uint64_t id;
	enum request_state state;
	struct pool_state *pool;
	clock_ms_t arrived_at;
	clock_ms_t deadline_at;
	uint32_t retries_left;
	uint32_t attempt;
	bool idempotent;
	bool claimed;
	enum verdict verdict; ///< of the attempts so far
	sw_key key;
	uint64_t digest;
	uint32_t instance;	///< that it runs on, or ENTRY_NO_INSTANCE
	struct held_loan *loan; ///< that it runs on, or NULL
	uint32_t tried[ENTRY_TRIED_MAX];
	uint32_t n_tried;
	struct waiter *waiter;
};

/* Events. */

enum entry_event_type {
	ENTRY_TICK,
	ENTRY_REQUEST,
	ENTRY_CANCEL,
	ENTRY_ATTEMPT_DONE,
	ENTRY_CLAIM_RESULT,
	ENTRY_RENEW_RESULT,
	ENTRY_RENEW_NOW,
	ENTRY_BORROW_RESULT,
	ENTRY_BORROW_CALL,
	ENTRY_RETURN_CALL,
	ENTRY_ANNOUNCE,
	ENTRY_DRAIN,
};

/// Looks up a header of a request.
typedef const char *(*entry_header_fn)(const void *ctx, const char *name);

struct entry_event {
	enum entry_event_type type;
	union {
		struct {
			uint64_t id;
			const char *method;
			const char *host;
			const char *path;
			entry_header_fn header;
			const void *header_ctx;
			bool has_key;
			sw_key key;
			uint64_t digest; ///< of the body
		} request;
		struct {
			uint64_t id;
		} cancel;
		struct {
			uint64_t id;
			uint32_t attempt;
			enum verdict verdict;
			bool timed_out;
			uint32_t http_status; ///< when the verdict is VERDICT_RAN
		} done;
		struct {
			uint64_t id;
			bool lost; ///< no answer from control
			sw_status status;
			const sw_claim *holder;
		} claim;
		struct {
			clock_ms_t sent_at;
			const sw_renew_reply *reply; ///< NULL: none
		} renew;
		struct {
			const char *pool;
			const char *lender;
			clock_ms_t sent_at;
			const sw_borrow_reply *reply; ///< NULL: none
		} borrow;
		struct {
			uint64_t token;
			const sw_borrow_args *args;
		} lend;
		const sw_return_args *returned;
		struct {
			uint64_t token;
			const sw_heartbeat *announcement;
		} announce;
	} u;
};

/* Effects. */

enum entry_effect_type {
	EFFECT_DISPATCH,
	EFFECT_ABORT,
	EFFECT_ANSWER,
	EFFECT_PROBLEM,
	EFFECT_CLAIM,
	EFFECT_FETCH_ANSWER,
	EFFECT_RENEW,
	EFFECT_BORROW,
	EFFECT_LEND,
	EFFECT_RETURN,
	EFFECT_ANNOUNCED,
};

struct entry_effect {
	enum entry_effect_type type;
	uint64_t id; ///< request, or token of a call
	uint32_t attempt;
	union {
		struct {
			char *instance;
			char *address;
			char *pool;
			uint64_t epoch;
			uint32_t timeout_ms;
			uint32_t wait_ms; ///< time spent in the queue
			bool fresh;	  ///< needs a connection of its own
		} dispatch;
		struct {
			uint32_t http_status;
			const char *title; ///< static
			enum verdict verdict;
		} problem;
		sw_claim claim;
		struct {
			char *address; ///< of the entry that holds the answer; "" for this one
			sw_key key;
			uint64_t digest;
		} fetch;
		sw_renew_args renew;
		struct {
			char *address;
			char *pool;
			uint32_t count;
			uint32_t wait_ms;
		} borrow;
		sw_borrow_reply lend;
		struct {
			char *address;
			uint64_t loan;
		} give_back;
		struct {
			uint32_t http_status;
			const char *title;
		} announced;
	} u;
};

struct entry {
	struct entry_settings settings;
	struct tables *tables;
	uint64_t routes_version;
	uint64_t pools_version;
	uint64_t view_index;
	GPtrArray *instances; ///< struct instance by id; NULL where none was seen
	GHashTable *by_name;  ///< struct instance by name, of the current view
	GHashTable *pools;    ///< struct pool_state by name
	GHashTable *peers;    ///< RPC address by entry name
	GHashTable *requests; ///< struct request by id
	GHashTable *news;     ///< sw_heartbeat by instance, not yet in the view
	GArray *given;	      ///< struct given_loan
	uint64_t next_loan;
	clock_ms_t lease_until;
	clock_ms_t renew_at;
	clock_ms_t renew_sent_at;
	clock_ms_t report_at; ///< next regular report
	bool renew_open;
	bool renew_urgent;
	bool draining;
	bool detached;
	double retry_tokens;
	GPtrArray *effects;
};

#endif
