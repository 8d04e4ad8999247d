#ifndef SESAMEWOOD_ENTRY_DEFS_H
#define SESAMEWOOD_ENTRY_DEFS_H

/// @file
/// State, events and effects of an entry, shared by the source files of its reducer.

#include "base/clock.h"
#include "base/tables.h"
#include "base/verdict.h"
#include "rpc/generated/sesamewood.h"

#define ENTRY_TRIED_INSTANCES_MAX 4
#define ENTRY_NO_INSTANCE UINT32_MAX

struct entry_settings {
	char *name;
	uint64_t session;	  ///< random and not 0; a new one at every start
	char *address;		  ///< RPC address of this entry
	uint32_t renew_ms;	  ///< interval of lease renewals
	uint32_t loan_ms;	  ///< longest time that a slot is lent for
	uint32_t loan_margin_ms;  ///< extra time that the lender waits, for differing clock rates
	uint32_t deadline_max_ms; ///< longest deadline of any route
	uint32_t eject_failures;  ///< consecutive failures after which an instance is ejected
	uint32_t eject_ms;	  ///< duration of an ejection
	uint32_t retry_percent;	  ///< retries allowed per 100 requests answered by endpoints
};

/// An endpoint instance as this entry sees it.
struct instance {
	sw_instance record;
	bool in_view;		  ///< in the current view
	bool leaving;		  ///< reported by a heartbeat; control may not have received it
	uint32_t in_use;	  ///< requests of this entry that run on it
	uint32_t lent;		  ///< slots lent to other entries
	uint32_t failures;	  ///< consecutive failed attempts
	double success_rate;	  ///< moving average of attempts, 0 to 1
	clock_ms_t ejected_until; ///< 0: not ejected since its last success
	bool heartbeat_seen;	  ///< since the last report to control
};

/// A slot that another entry lent to this one.
struct borrowed_slot {
	uint64_t id;
	char *lender; ///< RPC address of the entry that lent it
	char *instance;
	char *address; ///< of the instance
	uint64_t epoch;
	clock_ms_t expires_at; ///< from this time on no request is sent on it
	bool in_use;
};

/// A slot lent to another entry.
struct lent_slot {
	uint64_t id;
	uint32_t instance;     ///< id
	clock_ms_t reclaim_at; ///< counts as free from this time on, even if it was not returned
};

enum waiter_type {
	WAITER_REQUEST, ///< a request of a caller
	WAITER_LOAN,	///< a borrow call of another entry
};

struct request;

/// An item of a pool's queue, which waits for slots.
struct waiter {
	enum waiter_type type;
	clock_ms_t queued_at;
	union {
		struct request *request;
		struct {
			uint64_t token;		///< of the call
			uint32_t count;		///< slots asked for
			clock_ms_t deadline_at; ///< time of a reply without slots
		} loan;
	} u;
};

struct pool_state {
	char *name;
	GQueue waiters;		      ///< of struct waiter, oldest first
	GPtrArray *owned;	      ///< struct instance granted to this entry, owned by the entry
	GPtrArray *borrowed_slots;    ///< struct borrowed_slot
	uint32_t in_use;	      ///< running requests of this entry
	uint32_t borrow_calls_open;   ///< calls to lenders without a reply yet
	uint32_t next_lender;	      ///< count of calls; picks the lenders in turn
	clock_ms_t borrow_not_before; ///< no call to a lender before this time
	clock_ms_t queued_since; ///< requests have always waited since this time; 0: none waits
};

enum request_state {
	REQUEST_CLAIMING, ///< its idempotency key is being claimed at control
	REQUEST_QUEUED,	  ///< waits in the queue of its pool
	REQUEST_RUNNING,  ///< an attempt holds a slot
};

struct request {
	uint64_t id;
	enum request_state state;
	struct pool_state *pool;
	clock_ms_t arrived_at;
	clock_ms_t deadline_at;
	uint32_t retries_left;
	uint32_t attempt; ///< number of the last attempt, from 1; 0: none yet
	bool idempotent;
	bool claimed;	      ///< holds an open claim at control
	enum verdict verdict; ///< of all attempts so far together
	sw_key key;
	uint64_t digest;	    ///< of target and body; 0 without a key
	uint32_t instance;	    ///< id of the one that it runs on, or ENTRY_NO_INSTANCE
	struct borrowed_slot *loan; ///< borrowed slot that it runs on, or NULL
	uint32_t tried[ENTRY_TRIED_INSTANCES_MAX]; ///< ids of instances; a retry skips them
	uint32_t n_tried;
	struct waiter *waiter; ///< while queued
};

enum entry_event_type {
	ENTRY_EVENT_TICK,	   ///< time has passed
	ENTRY_EVENT_REQUEST,	   ///< of a caller
	ENTRY_EVENT_CANCEL,	   ///< the caller closed its connection
	ENTRY_EVENT_ATTEMPT_DONE,  ///< u.done
	ENTRY_EVENT_CLAIM_RESULT,  ///< u.claim
	ENTRY_EVENT_RENEW_RESULT,  ///< u.renew
	ENTRY_EVENT_RENEW_NOW,	   ///< control has a newer view
	ENTRY_EVENT_BORROW_RESULT, ///< u.borrow: reply of a lender
	ENTRY_EVENT_BORROW_CALL,   ///< u.borrow_call: another entry asks for slots
	ENTRY_EVENT_RETURN_CALL,   ///< u.return_call: another entry returns slots
	ENTRY_EVENT_HEARTBEAT,	   ///< u.heartbeat: heartbeat of an endpoint
	ENTRY_EVENT_DRAIN,	   ///< the process stops: releases the session lease when idle
};

/// @return value of a request header, owned by the request, or NULL
typedef const char *(*entry_header_fn)(const void *ctx, const char *name);

/// An event. Pointers are valid during entry_step() only.
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
			uint64_t digest; ///< of target and body; 0 without a key
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
			bool lost; ///< no reply from control: the outcome is unknown
			sw_status status;
			const sw_claim *holder; ///< with SW_CONFLICT: the claim that has the key
		} claim;
		struct {
			clock_ms_t sent_at;
			const sw_renew_reply *reply; ///< NULL: no reply
		} renew;
		struct {
			const char *pool;
			const char *lender; ///< RPC address
			clock_ms_t sent_at;
			const sw_borrow_reply *reply; ///< NULL: no reply
		} borrow;
		struct {
			uint64_t token;
			const sw_borrow_args *args;
		} borrow_call;
		const sw_return_args *return_call;
		struct {
			uint64_t token;
			const sw_heartbeat *endpoint_heartbeat;
		} heartbeat;
	} u;
};

enum entry_effect_type {
	ENTRY_EFFECT_DISPATCH,	      ///< send an attempt to an instance
	ENTRY_EFFECT_ABORT,	      ///< abort an attempt
	ENTRY_EFFECT_SEND_RESPONSE,   ///< send the caller the endpoint's response
	ENTRY_EFFECT_SEND_PROBLEM,    ///< send the caller a problem document
	ENTRY_EFFECT_CLAIM,	      ///< open or close a claim at control
	ENTRY_EFFECT_FETCH_RESPONSE,  ///< send the caller a cached response
	ENTRY_EFFECT_RENEW,	      ///< renew the lease
	ENTRY_EFFECT_BORROW,	      ///< ask another entry for slots
	ENTRY_EFFECT_REPLY_BORROW,    ///< u.borrow_reply: reply to another entry's borrow call
	ENTRY_EFFECT_RETURN_LOAN,     ///< return a slot to its lender
	ENTRY_EFFECT_REPLY_HEARTBEAT, ///< reply to an endpoint's heartbeat
};

/// An effect. Owns its data, except for titles.
struct entry_effect {
	enum entry_effect_type type;
	uint64_t id; ///< of the request, or token of the call that is replied to; else 0
	uint32_t attempt;
	union {
		struct {
			char *instance;
			char *address;
			char *pool;
			uint64_t epoch;
			uint32_t timeout_ms;
			uint32_t wait_ms;    ///< time spent in the queue
			bool new_connection; ///< must not use a kept-alive connection
		} dispatch;
		struct {
			uint32_t http_status;
			const char *title; ///< static
			enum verdict verdict;
		} problem;
		sw_claim claim;
		struct {
			char *address; ///< of the entry that has the response; "": this one
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
		sw_borrow_reply borrow_reply;
		struct {
			char *address;
			uint64_t loan;
		} return_loan;
		struct {
			uint32_t http_status;
			const char *title; ///< static
		} heartbeat_reply;
	} u;
};

struct entry {
	struct entry_settings settings;
	struct tables *tables;
	uint64_t routes_version;
	uint64_t pools_version;
	uint64_t view_index;		///< log index at control that the view reflects
	GPtrArray *instances;		///< struct instance by id; NULL: never in the view
	GHashTable *by_name;		///< struct instance by name, only those in the view
	GHashTable *pools;		///< struct pool_state by name
	GHashTable *peers;		///< RPC address by entry name
	GHashTable *requests;		///< struct request by id
	GHashTable *pending_heartbeats; ///< sw_heartbeat by instance: heartbeats that the view
					///< doesn't reflect yet
	GArray *lent_slots;		///< struct lent_slot
	uint64_t last_loan_id;
	clock_ms_t lease_until;
	clock_ms_t renew_at;	   ///< next regular renewal
	clock_ms_t renew_sent_at;  ///< last renewal sent
	clock_ms_t next_report_at; ///< next renewal that carries a report, at the earliest
	bool renew_in_flight;
	bool renew_urgent; ///< renew before renew_at
	bool draining;
	bool detached;	     ///< the session has ended; no more renewals
	double retry_tokens; ///< retries allowed at present
	GPtrArray *effects;  ///< struct entry_effect, not yet taken
};

#endif
