#ifndef SESAMEWOOD_CONTROL_FLEET_H
#define SESAMEWOOD_CONTROL_FLEET_H

/// @file
/// The replicated state machine: both tables, the instances and who may use them, entry sessions,
/// and claims of idempotency keys. Applying a command is deterministic.

#include "base/tables.h"
#include "rpc/generated/sesamewood.h"

#define FLEET_CLAIM_RETENTION_MS 600000
#define FLEET_CLAIMS_MAX 100000
#define FLEET_RESULTS_MAX 1024
#define FLEET_INSTANCES_MAX 8192

struct fleet {
	struct tables *tables;
	char *routes_json;
	char *pools_json;
	uint64_t routes_version;
	uint64_t pools_version;
	GPtrArray *instances;	 ///< of sw_instance, by id; NULL where forgotten
	GHashTable *by_name;	 ///< sw_instance by name
	GHashTable *sessions;	 ///< sw_entry_session by entry
	GHashTable *claims;	 ///< sw_claim by key
	GQueue *claim_order;	 ///< sw_claim, oldest first
	GHashTable *results;	 ///< sw_table_put_result by request id
	GQueue *result_order;	 ///< sw_table_put_result, oldest first
	GArray *forgotten;	 ///< of struct fleet_forgotten, oldest first
	uint64_t forgotten_from; ///< deletions up to this index are no longer listed
	uint64_t applied_index;
	int64_t clock_wall_ms; ///< latest time in a command
	uint64_t moves;	       ///< changes of pool since the start of this process
};

struct fleet_forgotten {
	uint32_t id;
	uint64_t index;
};

/// What applying a command came to.
struct fleet_outcome {
	sw_status status;
	uint64_t table_version; ///< of a put: the new or, on conflict, the current version
	sw_claim holder; ///< of a refused claim: who holds the key, else empty; valid until the
			 ///< next command
};

struct fleet *fleet_new(void);
void fleet_free(struct fleet *f);

/// Applies the command that stands at @p index of the log.
struct fleet_outcome fleet_apply(struct fleet *f, uint64_t index, const sw_command *command);

/// @return the whole state, encoded
GByteArray *fleet_snapshot(const struct fleet *f);

/// Replaces the whole state.
///
/// @return false when the snapshot is malformed
bool fleet_restore(struct fleet *f, const void *data, size_t len);

/// @return the instance of that name, or NULL
const sw_instance *fleet_instance(const struct fleet *f, const char *name);

/// @return the pool that an instance should be in: where it is lent, or its home, or ""
const char *fleet_desired_pool(const struct fleet *f, const sw_instance *instance);

/// Checks a table as a whole against the other table in force.
///
/// @param[out] faults owned strings; none: the table is valid
void fleet_check_table(const struct fleet *f, sw_table table, const char *json, GPtrArray *faults);

#endif
