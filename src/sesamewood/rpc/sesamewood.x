/*
 * Messages between the processes, and the records of the replicated log and of stored files.
 *
 * Times are in milliseconds. A field that ends in _wall_ms is wall-clock time since the Unix
 * epoch; other times are durations unless their comment says otherwise. After a change, regenerate
 * the committed code with scripts/rpcgen.
 */

const SW_NAME_MAX = 64;
const SW_ADDRESS_MAX = 64;
const SW_TABLE_MAX = 1048576;
const SW_BLOB_MAX = 16777216;
const SW_LIST_MAX = 16384;
const SW_ACCESS_KEY_MAX = 512;
const SW_KEY_BYTES = 16;

typedef string sw_name<SW_NAME_MAX>;
typedef string sw_address<SW_ADDRESS_MAX>;
typedef opaque sw_key[SW_KEY_BYTES];
typedef opaque sw_blob<SW_BLOB_MAX>;

enum sw_table {
	SW_TABLE_ROUTES = 0,
	SW_TABLE_POOLS = 1
};

/* State of an instance's grant. */
enum sw_phase {
	SW_PHASE_IDLE = 0,     /* granted to no entry */
	SW_PHASE_ACTIVE = 1,   /* granted to one entry */
	SW_PHASE_REVOKING = 2  /* its entry was asked to stop dispatching and to acknowledge */
};

enum sw_reason {
	SW_REASON_NONE = 0,
	SW_REASON_SURGE = 1,    /* moved to a pool that needs capacity */
	SW_REASON_RETURN = 2,   /* moved back to its home pool */
	SW_REASON_TABLE = 3,    /* the pools table assigns it to another pool */
	SW_REASON_LEAVING = 4,  /* the endpoint reported that it will deregister */
	SW_REASON_ENTRY = 5,    /* re-granted to another entry in the same pool */
	SW_REASON_FAILED = 6    /* the endpoint sends no more heartbeats */
};

/* An endpoint, as its latest heartbeat describes it. */
struct sw_heartbeat {
	sw_name instance;
	unsigned hyper incarnation;
	sw_address address;
	sw_name zone;
	sw_name rack;
	sw_name service;
	unsigned int slots;          /* requests that it serves at a time */
	unsigned int connections;
	bool leaving;                /* it will deregister: no new requests */
};

struct sw_instance {
	sw_heartbeat endpoint;
	unsigned int id;
	sw_name home;     /* pool that the pools table assigns it to, or "" */
	sw_name pool;     /* pool that it serves now, or "" */
	sw_name target;   /* pool that it moves to after the revocation */
	sw_name entry;    /* entry that may dispatch requests to it, or "" */
	bool lent;        /* the policy moved it from its home to another pool */
	bool dirty;       /* requests of an earlier owner may still run on it */
	sw_phase phase;
	sw_reason reason;
	unsigned hyper epoch;
	unsigned hyper modified_index;
};

/* One run of an entry process. */
struct sw_entry_session {
	sw_name entry;
	unsigned hyper session;
	sw_address address;
	bool clean;  /* the previous session released all its grants before it ended */
	unsigned hyper index;
};

/* An operator's replacement of a table. */
struct sw_table_put {
	sw_table table;
	unsigned hyper base_version;     /* version that the operator edited */
	sw_name request_id;
	string json<SW_TABLE_MAX>;
};

struct sw_table_put_result {
	sw_name request_id;
	sw_table table;
	bool accepted;
	unsigned hyper table_version;
	unsigned hyper digest;
};

/* Starts the revocation of a grant. */
struct sw_revoke {
	sw_name instance;
	unsigned hyper epoch;
	sw_name target;
	sw_reason reason;
};

struct sw_grant {
	sw_name instance;
	unsigned hyper epoch;
	sw_name pool;
	sw_name entry;
	bool lent;
	bool unclean;    /* the previous owner did not acknowledge: the instance becomes dirty */
};

/* Marks that no request of an earlier owner can still run on an instance. */
struct sw_clear_dirty {
	sw_name instance;
	unsigned hyper epoch;
};

/* Removes the instance of an endpoint that sends no more heartbeats. */
struct sw_forget {
	sw_name instance;
	unsigned hyper incarnation;
};

enum sw_claim_state {
	SW_CLAIM_OPEN = 0,      /* the request may be running */
	SW_CLAIM_RAN = 1,       /* the request ran, and its owner holds the response */
	SW_CLAIM_UNKNOWN = 2,   /* the owner ended without a response: the request may have run */
	SW_CLAIM_RELEASED = 3   /* the request did not run: the key may be claimed again */
};

/* Claim of an entry to run the request with an idempotency key. */
struct sw_claim {
	sw_key key;
	unsigned hyper digest;
	sw_name entry;
	unsigned hyper session;
	unsigned hyper attempt;
	sw_claim_state state;
	hyper at_wall_ms;
};

/* A control replica. */
struct sw_member {
	unsigned int node;
	unsigned hyper uid;
};

struct sw_members {
	sw_member members<16>;
};

enum sw_command_type {
	SW_COMMAND_NOOP = 0,
	SW_COMMAND_MEMBERS = 1,
	SW_COMMAND_TABLE_PUT = 2,
	SW_COMMAND_HEARTBEAT = 3,
	SW_COMMAND_REVOKE = 4,
	SW_COMMAND_GRANT = 5,
	SW_COMMAND_FORGET = 6,
	SW_COMMAND_SESSION = 7,
	SW_COMMAND_CLAIM = 8,
	SW_COMMAND_CLAIM_END = 9,
	SW_COMMAND_CLEAR_DIRTY = 10,
	SW_COMMAND_JOB = 11
};

/* Jobs. */

const JOB_TEXT_MAX = 8192;
/* Longest name of a pool or machine, and longest checkpoint, bytes. */
const JOB_NAME_MAX = 256;
const JOB_CHECKPOINT_MAX = 65536;
const JOB_KEY_MAX = 1024;              /* of a queue */
typedef string job_name<JOB_NAME_MAX>;

const JOB_TASKS_MAX = 65536;

struct job_step {
	unsigned int count;                /* number of tasks */
	unsigned int cpu_milli;            /* thousandths of a core for each task */
	unsigned int mem_mb;
	unsigned int gpu;
	unsigned int estimate_ms;          /* expected run time of a task */
	unsigned int after<256>;           /* indexes of steps that must be completed first */
	bool checkpointable;
	bool gang;                         /* all tasks of the step run at the same time */
	bool rack_sensitive;               /* slower when its tasks span racks */
	bool speculative;
	bool long_running;                 /* runs until the job is cancelled */
	bool best_effort;                  /* uses processor time that others leave */
	job_name label;                    /* label that an endpoint must have, or "" */
	job_name data_rack;                /* rack that holds the data, or "" */
	unsigned int max_per_endpoint;     /* 0: no limit */
	unsigned int max_unavailable;      /* tasks that may be unavailable at once, 0: no limit */
	job_name image;
	unsigned int target_ms;            /* target of the tail latency, 0: none */
};

/* A job as it was submitted, with the settings of its queue at that time. */
struct job_spec {
	sw_name id;
	string queue<JOB_KEY_MAX>;         /* key of the queue */
	job_name pool;
	string payload<JOB_TEXT_MAX>;
	job_step steps<256>;
	unsigned int occurrences;          /* 0: runs once, without a delay */
	hyper first_wall_ms;
	hyper interval_ms;
	unsigned int max_attempts;
	hyper accepted_wall_ms;
};

enum job_phase {
	JOB_PENDING = 0,
	JOB_RUNNING = 1,
	JOB_COMPLETED = 2,
	JOB_FAILED = 3,
	JOB_CANCELLED = 4
};

enum job_task_phase {
	JOB_TASK_WAITING = 0,
	JOB_TASK_ASSIGNED = 1,             /* an attempt may run at its endpoint */
	JOB_TASK_DONE = 2,
	JOB_TASK_FAILED = 3
};

struct job_task {
	job_task_phase phase;
	unsigned int attempt;
	unsigned int failures;             /* of the first two members of a gang: see jobs.c */
	unsigned int endpoint;             /* number of the endpoint's incarnation, 0: none */
	hyper started_wall_ms;             /* start of the latest attempt */
	unsigned int crashes;              /* attempts whose endpoint crashed, or may have crashed */
	unsigned int early_crashes;        /* those whose endpoint crashed right after their start */
	bool singled_out;                  /* in one of these, only its job can be the cause */
	string checkpoint<JOB_CHECKPOINT_MAX>;
};

struct job_step_state {
	job_task tasks<JOB_TASKS_MAX>;
};

struct job_occurrence {
	job_step_state steps<256>;
};

/* A job and its progress. */
struct job_image {
	job_spec spec;
	job_phase phase;
	hyper ended_wall_ms;     /* of cancelled jobs, by the clock of the leader at that time */
	job_occurrence occurrences<JOB_TASKS_MAX>;
};

struct job_queue {
	string key<JOB_KEY_MAX>;           /* host, a space and path prefix */
	job_name pool;
	unsigned int timeout_ms;
	unsigned int objective_ms;
	unsigned int priority;             /* 0 is served first */
	unsigned int max_attempts;
	unsigned int stretch_milli;        /* factor on the critical path, thousandths */
	bool needs_placement_advice;       /* tasks start only where the placement advisor allows */
	unsigned int advice_base_ms;
	unsigned int advice_each_ms;
	unsigned int advice_valid_ms;
};

struct job_pool {
	job_name name;
	bool guards;                       /* its endpoints reject tasks that do not fit */
	bool standby;                      /* its machines are switched off until needed */
};

struct job_config {
	unsigned hyper config_version;
	job_queue queues<SW_LIST_MAX>;
	job_pool pools<SW_LIST_MAX>;
	sw_blob document;                  /* the operator's document, byte for byte */
};

const JOB_KEY_DIGEST_BYTES = 32;           /* SHA-256 */

/* Limits on what one client account has running at all endpoints; 0: no limit. */
struct job_cap {
	unsigned hyper cpu_milli;
	unsigned hyper mem_mb;
	unsigned hyper gpu;
};

struct job_key_digest {
	opaque sha256[JOB_KEY_DIGEST_BYTES];
};

struct job_account {
	job_name name;
	unsigned int weight_milli;         /* thousandths of a job a second that are owed service */
	unsigned int priority;
	job_cap cap;
	job_key_digest keys<4096>;         /* empty: no request belongs to the account any more */
};

/* Who may use the queues of a configuration. */
struct job_access {
	job_account accounts<SW_LIST_MAX>;
	unsigned int open_queues<SW_LIST_MAX>; /* indexes of the queues that need no key */
};

struct job_config_access {
	job_config config;
	job_access access;
};

/* A job that belongs to a client account. */
struct job_accept_for {
	job_spec spec;
	job_name account;
	bool beyond_weight;                /* more than the account is owed arrived at that time */
};

/* One incarnation of an endpoint. */
struct job_incarnation {
	unsigned int number;
	string id<JOB_NAME_MAX>;
	hyper incarnation_wall_ms;
	sw_address address;
	job_name pool;
	job_name machine;
};

struct job_task_ref {
	sw_name job;
	unsigned int occurrence;
	unsigned int step;
	unsigned int index;
};

struct job_attempt_start {
	unsigned int endpoint;
	unsigned int attempt;
	hyper at_wall_ms;
	job_task_ref task;
};

enum job_attempt_end_cause {
	JOB_ATTEMPT_DONE = 0,
	JOB_ATTEMPT_FAILED = 1,                /* counts towards max_attempts */
	JOB_ATTEMPT_RELEASED = 2,              /* did not run, or was stopped or interrupted */
	JOB_ATTEMPT_LOST = 3,                  /* its endpoint has ended, perhaps because of it */
	JOB_ATTEMPT_CRASHED = 4,               /* its endpoint crashed right after its start */
	JOB_ATTEMPT_CRASHED_ALONE = 5,         /* the same, and only its job can be the cause */
	JOB_ATTEMPT_LOSS_CONFIRMED = 6         /* released when its endpoint fell silent, which has
	                                          crashed, as is known by now */
};

/* How long an attempt is known to have run. */
enum job_attempt_age {
	JOB_ATTEMPT_STARTING = 0,              /* its start may still crash the endpoint */
	JOB_ATTEMPT_STARTED = 1,               /* it did not crash the endpoint by its start */
	JOB_ATTEMPT_SETTLED = 2                /* so long that earlier crashes were not its fault */
};

struct job_attempt_end {
	unsigned int attempt;
	job_task_ref task;
	job_attempt_end_cause cause;
	job_attempt_age age;
	string checkpoint<JOB_CHECKPOINT_MAX>;
};

struct job_cancel {
	sw_name id;
	hyper at_wall_ms;
};

struct job_wave_machine {
	job_name machine;
	bool ordered;                      /* its maintenance was ordered and may have begun */
	bool settled;                      /* its maintenance has begun, or it no longer exists */
};

struct job_wave {
	unsigned hyper number;
	unsigned int cap;
	hyper due_wall_ms;
	job_wave_machine machines<SW_LIST_MAX>;
};

struct job_wave_update {
	unsigned hyper number;
	job_name machine;
	bool settled;                      /* false: its maintenance is only ordered so far */
};

struct job_forget {
	sw_name ids<SW_LIST_MAX>;
};

/* Recorded before a leader sends an order for a machine, so that its successor knows for which
 * machines orders were sent recently. An empty name is a time mark: see sched/cooldown.h. */
struct job_machine_order {
	job_name machine;
	unsigned int keep;         /* number of latest earlier orders that are still recent */
};

enum job_command_type {
	JOB_COMMAND_CONFIG = 0,
	JOB_COMMAND_ACCEPT = 1,
	JOB_COMMAND_CANCEL = 2,
	JOB_COMMAND_INCARNATION = 3,
	JOB_COMMAND_ATTEMPT_START = 4,
	JOB_COMMAND_ATTEMPT_END = 5,
	JOB_COMMAND_WAVE = 6,
	JOB_COMMAND_WAVE_UPDATE = 7,
	JOB_COMMAND_FORGET = 8,
	JOB_COMMAND_MACHINE_ORDER = 9,
	JOB_COMMAND_CONFIG_ACCESS = 10,
	JOB_COMMAND_ACCEPT_FOR = 11
};

union job_command switch (job_command_type type) {
case JOB_COMMAND_CONFIG:
	job_config config;
case JOB_COMMAND_ACCEPT:
	job_spec accept;
case JOB_COMMAND_CANCEL:
	job_cancel cancel;
case JOB_COMMAND_INCARNATION:
	job_incarnation endpoint;
case JOB_COMMAND_ATTEMPT_START:
	job_attempt_start start;
case JOB_COMMAND_ATTEMPT_END:
	job_attempt_end end;
case JOB_COMMAND_WAVE:
	job_wave wave;
case JOB_COMMAND_WAVE_UPDATE:
	job_wave_update wave_update;
case JOB_COMMAND_FORGET:
	job_forget forget;
case JOB_COMMAND_MACHINE_ORDER:
	job_machine_order machine_order;
case JOB_COMMAND_CONFIG_ACCESS:
	job_config_access config_access;
case JOB_COMMAND_ACCEPT_FOR:
	job_accept_for accept_for;
};

/* State of the job state machine, as stored in a snapshot. */
struct job_snapshot {
	job_config config;
	unsigned int next_endpoint;
	job_incarnation endpoints<SW_LIST_MAX>;
	job_image jobs<1048576>;
	job_wave waves<SW_LIST_MAX>;
	job_name ordered_machines<SW_LIST_MAX>;
};

struct job_owner {
	sw_name job;
	job_name account;
	bool beyond_weight;
};

/* Follows job_snapshot; snapshots of builds without client accounts end before it. */
struct job_snapshot_access {
	job_access access;
	job_owner owners<1048576>;
};

union sw_command switch (sw_command_type type) {
case SW_COMMAND_NOOP:
	void;
case SW_COMMAND_MEMBERS:
	sw_members members;
case SW_COMMAND_TABLE_PUT:
	sw_table_put put;
case SW_COMMAND_HEARTBEAT:
	sw_heartbeat heartbeat;
case SW_COMMAND_REVOKE:
	sw_revoke revoke;
case SW_COMMAND_GRANT:
	sw_grant grant;
case SW_COMMAND_FORGET:
	sw_forget forget;
case SW_COMMAND_SESSION:
	sw_entry_session session;
case SW_COMMAND_CLAIM:
	sw_claim claim;
case SW_COMMAND_CLAIM_END:
	sw_claim claim_end;
case SW_COMMAND_CLEAR_DIRTY:
	sw_clear_dirty clear_dirty;
case SW_COMMAND_JOB:
	job_command job;
};

/* State of the fleet state machine, as stored in a snapshot. */
struct sw_fleet_snapshot {
	unsigned hyper applied_index;
	string routes<SW_TABLE_MAX>;
	unsigned hyper routes_version;
	string pools<SW_TABLE_MAX>;
	unsigned hyper pools_version;
	hyper clock_wall_ms;
	sw_instance instances<SW_LIST_MAX>;
	sw_entry_session sessions<SW_LIST_MAX>;
	sw_claim claims<1048576>;
	sw_table_put_result results<SW_LIST_MAX>;
};

/* Replication between control replicas. */

enum raft_message_type {
	RAFT_PREVOTE = 0,
	RAFT_PREVOTE_REPLY = 1,
	RAFT_VOTE = 2,
	RAFT_VOTE_REPLY = 3,
	RAFT_APPEND = 4,
	RAFT_APPEND_REPLY = 5,
	RAFT_SNAPSHOT = 6,
	RAFT_JOIN = 7,
	RAFT_PROBE = 8,
	RAFT_PROBE_REPLY = 9,
	RAFT_TIMEOUT_NOW = 10,          /* from the leader: start an election at once */
	RAFT_SNAPSHOT_REPLY = 11
};

struct raft_record {
	unsigned hyper index;
	unsigned hyper term;
	sw_blob command;
};

struct raft_message {
	raft_message_type type;
	unsigned int from;
	unsigned hyper from_uid;
	unsigned int to;
	unsigned hyper to_uid;      /* 0: any */
	unsigned hyper term;
	unsigned hyper index;       /* by type: last, previous, match or snapshot log index */
	unsigned hyper log_term;    /* term at index */
	unsigned hyper commit;
	bool reject;
	hyper echo_ms;              /* the sender's monotonic clock, echoed by the reply */
	sw_members members;         /* of snapshots and probe replies */
	bool fresh;                 /* of probe replies: the sender belongs to no cluster and may
	                             * help to create one; of vote requests: the leader transfers
	                             * its leadership, so that the receiver ignores its lease */
	raft_record records<SW_LIST_MAX>;
	sw_blob snapshot;           /* encoded raft_snapshot_part, of snapshots and their replies */
	bool non_voter;             /* the sender has no vote while enough others have one */
};

const SW_SNAPSHOT_PART_MAX = 262144;

/* Part of a snapshot's data. In a reply: offset up to which the data has arrived. */
struct raft_snapshot_part {
	unsigned hyper offset;
	unsigned hyper size;        /* of all parts together */
	opaque data<SW_SNAPSHOT_PART_MAX>; /* empty: a heartbeat */
};

/* Contents of the files of a control replica. */

struct raft_meta {
	unsigned hyper uid;
	unsigned hyper term;
	unsigned int voted_for;
	sw_members base;      /* members before the first record of the log */
};

/* A whole file of earlier builds. */
struct raft_snapshot {
	unsigned hyper index;
	unsigned hyper term;
	sw_members members;
	sw_blob data;
};

/* First frame of the file; the data follows without a frame. */
struct raft_snapshot_head {
	unsigned hyper index;
	unsigned hyper term;
	sw_members members;
	unsigned hyper size;        /* of the data */
	unsigned hyper hash;        /* xxh64 of the data, seeded with its size */
};

struct raft_frame {
	raft_record records<SW_LIST_MAX>;
};

/* Messages between entries and control. */

struct sw_pool_load {
	sw_name pool;
	unsigned int in_use;
	unsigned int queued;
	unsigned int oldest_wait_ms;
};

struct sw_ack {
	sw_name instance;
	unsigned hyper epoch;
	bool busy;      /* requests still run; allowed only if the instance stays in its pool */
};

struct sw_renew_args {
	sw_name entry;
	unsigned hyper session;
	sw_address address;                 /* RPC address for other entries */
	unsigned hyper applied_view_index;  /* 0: the entry has no view yet */
	bool draining;
	bool detach;                        /* end the session if it owns no instances */
	sw_ack acks<SW_LIST_MAX>;
	bool reporting;                     /* reports and heartbeat_bits are filled in; the
	                                     * reports replace earlier ones */
	sw_pool_load reports<SW_LIST_MAX>;
	sw_heartbeat registrations<SW_LIST_MAX>; /* new, restarted or leaving endpoints */
	opaque heartbeat_bits<SW_LIST_MAX>; /* bit set of instance ids: those that sent a
	                                     * heartbeat since the last report */
};

enum sw_status {
	SW_OK = 0,
	SW_NOT_LEADER = 1,
	SW_BUSY = 2,
	SW_REFUSED = 3,
	SW_CONFLICT = 4
};

struct sw_table_text {
	sw_table table;
	unsigned hyper table_version;
	string json<SW_TABLE_MAX>;
};

struct sw_peer {
	sw_name entry;
	sw_address address;
};

struct sw_renew_reply {
	sw_status status;
	unsigned int leader;          /* node number, 0 when unknown */
	unsigned int lease_ms;
	unsigned hyper index;         /* of the view that the reply brings the entry to */
	bool full;                    /* replaces the entry's whole view of the fleet */
	sw_table_text tables<2>;
	sw_instance instances<SW_LIST_MAX>;
	unsigned int forgotten<SW_LIST_MAX>; /* ids of instances removed from the fleet */
	sw_peer peers<256>;
	bool detached;                /* the session has ended, as the entry asked */
};

struct sw_watch_args {
	sw_name entry;
	unsigned hyper session;
	unsigned hyper applied_view_index;
};

struct sw_watch_reply {
	sw_status status;
	unsigned int leader;
	unsigned hyper index;
};

struct sw_claim_args {
	sw_claim claims<SW_LIST_MAX>;
};

struct sw_claim_result {
	sw_status status;             /* SW_CONFLICT: another request holds the key */
	sw_claim holder;
};

struct sw_claim_reply {
	sw_status status;
	unsigned int leader;
	sw_claim_result results<SW_LIST_MAX>;
};

struct sw_admin_args {
	string method<16>;
	string path<4096>;
	string if_match<64>;
	string request_id<SW_NAME_MAX>;
	string body<SW_TABLE_MAX>;
};

struct sw_admin_reply {
	sw_status status;
	unsigned int leader;
	unsigned int http_status;
	string content_type<64>;
	string etag<64>;
	sw_blob body;
};

/* Messages between entries. */

struct sw_loan {
	unsigned hyper id;
	sw_name instance;
	unsigned hyper incarnation;
	sw_address address;
	sw_name pool;
	unsigned hyper epoch;
	unsigned int expires_ms;   /* from the moment the borrower sent its request */
};

struct sw_borrow_args {
	sw_name entry;
	sw_name pool;
	unsigned int count;
	unsigned int wait_ms;      /* longest time that the lender may delay its reply */
};

struct sw_borrow_reply {
	sw_status status;
	sw_loan loans<256>;
};

struct sw_return_args {
	unsigned hyper loans<256>;
};

struct sw_answer_args {
	sw_key key;
	unsigned hyper digest;
};

struct sw_answer_reply {
	sw_status status;
	unsigned int http_status;
	string content_type<256>;
	sw_blob body;
};

/* An HTTP request, forwarded to control's leader. */
struct sw_relay_args {
	bool from_caller;             /* received at an entry's listener, not at control's */
	string method<16>;
	string host<256>;
	string target<8192>;
	opaque key<SW_ACCESS_KEY_MAX>; /* key of the caller's account, or empty */
	sw_blob body;
};

struct sw_relay_reply {
	sw_status status;             /* SW_NOT_LEADER: the request had no effect */
	unsigned int leader;          /* node number, 0 when unknown */
	unsigned int members<16>;     /* node numbers of the control replicas */
	unsigned int http_status;
	unsigned int retry_after_s;   /* 0: none */
	sw_blob body;                 /* JSON document, or empty */
};

/* Orders that another control replica sends to endpoints for the leader, and their results. */

struct sw_order {
	unsigned hyper id;
	unsigned int type;            /* enum order_type */
	sw_address address;
	string instance<256>;
	unsigned int timeout_ms;
	unsigned hyper fencing_token;
	string task<JOB_NAME_MAX>;
	unsigned int attempt;
	string payload<JOB_TEXT_MAX>;
	string checkpoint<JOB_CHECKPOINT_MAX>;
	string ticket<JOB_CHECKPOINT_MAX>;
	hyper lease_until_ms;         /* lease end on the endpoint's clock */
	unsigned hyper ack_through;   /* highest completion number acknowledged */
	unsigned int wait_ms;         /* longest wait for a completion before the answer */
	unsigned int percent;         /* pace orders: execution rate */
	unsigned int valid_ms;        /* must be sent within this time of arrival; 0: no limit */
};

struct sw_order_batch {
	unsigned int leader;
	unsigned hyper term;
	sw_order orders<4096>;
};

struct sw_running_attempt {
	string task<JOB_NAME_MAX>;
	unsigned int attempt;
	string checkpoint<JOB_CHECKPOINT_MAX>;
	unsigned int percent;
	hyper usage;                  /* latency-sensitive: tail latency, ms; others: cpu in use */
};

struct sw_completion_record {
	unsigned hyper number;        /* increases within one incarnation of the endpoint */
	string task<JOB_NAME_MAX>;
	unsigned int attempt;
	unsigned int outcome;         /* enum attempt_outcome */
	string checkpoint<JOB_CHECKPOINT_MAX>;
};

struct sw_order_result {
	unsigned hyper id;            /* of the order */
	unsigned int status;          /* enum order_status */
	hyper clock_ms;               /* the endpoint's monotonic clock; -1: unknown */
	hyper incarnation_wall_ms;
	sw_running_attempt runs<SW_LIST_MAX>;
	sw_completion_record completions<SW_LIST_MAX>;
};

struct sw_result_batch {
	unsigned hyper term;
	sw_order_result results<4096>;
};

/* Short heartbeats that a replica received and forwards to the leader. */

struct sw_short_heartbeat {
	string id<256>;
	hyper incarnation_wall_ms;
	unsigned hyper sequence;
	hyper clock_ms;
	unsigned int cold_ms;     /* remaining time of the cold start */
	unsigned int age_ms;      /* time since the replica received the heartbeat */
	unsigned hyper digest;    /* of the content of the full heartbeat that it repeats */
};

struct sw_heartbeat_batch {
	unsigned hyper term;
	sw_short_heartbeat short_heartbeats<SW_LIST_MAX>;
};

struct sw_heartbeat_batch_reply {
	sw_status status;
	sw_name unknown<SW_LIST_MAX>; /* endpoints of which the leader needs a full heartbeat */
};

program SESAMEWOOD_PROGRAM {
	version SESAMEWOOD_V1 {
		void SW_PROC_NULL(void) = 0;
		void SW_PROC_RAFT(raft_message) = 1;
		sw_renew_reply SW_PROC_RENEW(sw_renew_args) = 2;
		sw_watch_reply SW_PROC_WATCH(sw_watch_args) = 3;
		sw_claim_reply SW_PROC_CLAIM(sw_claim_args) = 4;
		sw_admin_reply SW_PROC_ADMIN(sw_admin_args) = 5;
		sw_borrow_reply SW_PROC_BORROW(sw_borrow_args) = 6;
		void SW_PROC_RETURN(sw_return_args) = 7;
		sw_answer_reply SW_PROC_ANSWER(sw_answer_args) = 8;
		sw_relay_reply SW_PROC_RELAY(sw_relay_args) = 9;
		void SW_PROC_ORDERS(sw_order_batch) = 10;
		void SW_PROC_RESULTS(sw_result_batch) = 11;
		sw_heartbeat_batch_reply SW_PROC_HEARTBEATS(sw_heartbeat_batch) = 12;
	} = 1;
} = 0x20005e5a;
