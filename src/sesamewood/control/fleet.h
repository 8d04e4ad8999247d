#ifndef SESAMEWOOD_CONTROL_FLEET_H
#define SESAMEWOOD_CONTROL_FLEET_H

/// @file
/// The replicated state machine: the routes and pools tables, the instances and which entry may
/// dispatch to each, entry sessions, and claims of idempotency keys. Applying a command is
/// deterministic: it depends on the state and the command only.

#include "base/tables.h"
#include "rpc/generated/sesamewood.h"

#define FLEET_CLAIM_RETENTION_MS 600000 ///< a claim expires after this time
#define FLEET_CLAIMS_MAX 100000		///< further claims are refused with SW_BUSY
#define FLEET_PUT_RESULTS_MAX 1024 ///< table changes whose result is kept for repeated requests
#define FLEET_INSTANCES_MAX 8192   ///< further instances are refused

struct fleet {
	struct tables *tables;
	char *routes_json;
	char *pools_json;
	uint64_t routes_version;
	uint64_t pools_version;
	GPtrArray *instances;	 ///< of sw_instance, by id; NULL: removed
	GHashTable *by_name;	 ///< sw_instance by name
	GHashTable *sessions;	 ///< sw_entry_session by entry
	GHashTable *claims;	 ///< sw_claim by key
	GQueue *claim_order;	 ///< sw_claim, oldest first
	GHashTable *results;	 ///< sw_table_put_result by request id
	GQueue *result_order;	 ///< sw_table_put_result, oldest first
	GArray *forgotten;	 ///< of struct fleet_forgotten, oldest first; for views of entries
	uint64_t forgotten_from; ///< removals up to this index are not in the list; an entry whose
				 ///< view is older gets a full one
	uint64_t applied_index;	 ///< of the last applied command
	int64_t clock_wall_ms;	 ///< latest wall-clock time in a command; expires claims
	uint64_t moves;		 ///< instances that changed pools since the start of this process
};

/// An instance that was removed from the fleet.
struct fleet_forgotten {
	uint32_t id;	///< of the instance
	uint64_t index; ///< of the command that removed it
};

/// Result of applying a command.
struct fleet_outcome {
	sw_status status;
	uint64_t table_version; ///< of a table change: the new version or, on conflict, the current
				///< one
	sw_claim holder; ///< of a refused claim: the claim that holds the key, else empty; borrowed
			 ///< until the next command
};

/// @return empty state, released with fleet_free()
struct fleet *fleet_new(void);
void fleet_free(struct fleet *f);

/// Applies the command at @p index of the log.
struct fleet_outcome fleet_apply(struct fleet *f, uint64_t index, const sw_command *command);

/// @return the encoded state, owned by the caller
GByteArray *fleet_snapshot(const struct fleet *f);

/// Replaces the state with that of a snapshot.
///
/// @return false if the snapshot is malformed; the state is unchanged
bool fleet_restore(struct fleet *f, const void *data, size_t len);

/// @return the instance of that name, borrowed until the next command, or NULL
const sw_instance *fleet_find_instance(const struct fleet *f, const char *name);

/// @return the pool that an instance should be in: the one it is lent to, else its home pool; "" if
///         it has none or is leaving
const char *fleet_desired_pool(const struct fleet *f, const sw_instance *instance);

/// Validates a table, including its references to or from the other current table.
///
/// @param[out] errors validation errors are added as owned strings; none if the table is valid
void fleet_check_table(const struct fleet *f, sw_table table, const char *json, GPtrArray *errors);

#endif
