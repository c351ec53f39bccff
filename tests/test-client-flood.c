/* Floods of misbehaving clients at the real daemons. Each test starts a deployment with lowered
 * limits, sends one flood to one of its processes, and checks only what doesn't depend on the speed
 * of the machine: all processes are alive, their resident memory and open descriptors stayed under
 * a bound, and an ordinary request is answered with success afterwards.
 *
 *   test-client-flood -p /client-flood/held/route
 *   test-client-flood --full -p /client-flood/held/route    # 1,500 connections, default limits
 *
 * Guards against clients outside the operators' control that exhaust a process.
 */
#include "callers.h"
#include "client-flood.h"
#include "flood-deployment.h"

#include <ne_socket.h>
#include <stdarg.h>
#include <string.h>

/* The targets: on a VM of 120 MB and 3,075 descriptors, of which 200 are reserved, a flood of 1,500
 * connections leaves each process under 90 MB and 2,875 descriptors. */
#define TARGET_MEMORY_KIB      (90 * 1000 * 1000 / 1024)
#define TARGET_DESCRIPTORS     2875
#define TARGET_CONNECTIONS     1500
#define TARGET_MEMORY_MIB      120
#define TARGET_DESCRIPTORS_MAX 3075
/* The small floods. A process takes 13 MB in calm, so the target leaves 77 MB for 1,500
 * connections, which is 16 MiB for 320: the byte budget that the settings of the tests state, and
 * as much for the buffers of connections, one request that is being parsed, and the allocator. */
#define CONNECTIONS       320
#define INTAKE_MAX_BYTES  8388608
#define ALLOWANCE_KIB     (8 * 1024)
#define DESCRIPTORS_MAX   500 /* in the settings; below what the process and the flood need */
#define DESCRIPTORS_BOUND (DESCRIPTORS_MAX - 200) /* the same reserve as in the targets */
/* A tenth of the fields of the floods, and far above a job of 64 steps. */
#define JSON_NODES_MAX 2600

#define JOB_INTERVAL_US   100000
#define FULL_HOLD_MS      6000 /* the jobs of a full run are submitted meanwhile */
#define AFTER_MS          1000 /* sampling after the flood */
#define SAMPLE_MS         10
#define READ_ALL          65536
#define BODY_BYTES        262000 /* legal: the limit is 262,144 */
#define WITHHELD_BYTES    1000
#define LARGE_BYTES       (3 * 1024 * 1024) /* twelve times the limit */
#define LARGE_SENT_BYTES  (1024 * 1024)
#define CHUNK_BYTES       64
#define CHUNK_COUNT       4000 /* 256,000 bytes of body, still legal */
#define LARGE_CHUNK_BYTES 16384
#define FIELD_COUNT       26000
#define PIPELINED_COUNT   4000
#define HEADER_BYTES      6000 /* below the limit for headers */

#define LIMITS                                                                                     \
  "\"intake_bytes_max\":" G_STRINGIFY (INTAKE_MAX_BYTES) ",\"descriptors_max\":" G_STRINGIFY (     \
      DESCRIPTORS_MAX) ",\"json_nodes_max\":" G_STRINGIFY (JSON_NODES_MAX)
#define FULL_LIMITS                                                                                \
  "\"memory_mib\":" G_STRINGIFY (TARGET_MEMORY_MIB) ",\"descriptors_max\":" G_STRINGIFY (          \
      TARGET_DESCRIPTORS_MAX)

/* Places. */

typedef enum {
  PLACE_ROUTE = 1,
  PLACE_NO_ROUTE = 2,
  PLACE_READYZ = 4,
  PLACE_PEERS = 8,
  PLACE_ENTRY = 16, /* a route of verbenapulleyd; the others are of verbenapulley-celld */
  PLACE_ENTRY_METRICS = 32,
  PLACES_CELL = PLACE_ROUTE | PLACE_NO_ROUTE | PLACE_READYZ,
} PlaceId;

typedef struct {
  const char *name;
  PlaceId id;
  uint32_t port; /* of the first node; 0: the first entry process of a cluster */
  const char *path;
  const char *headers;
} Place;

#define CELL_HEADERS  "Host: " SOAK_HOST "\r\nAuthorization: Token " SOAK_KEY "\r\n"
#define ENTRY_HEADERS "Host: entry\r\nAuthorization: Bearer " FLOOD_ENTRY_KEY "\r\n"
static const Place places[] = {
  { "route", PLACE_ROUTE, FLOOD_CALLERS_PORT, "/plain/00000000000000ff", CELL_HEADERS },
  { "no-route", PLACE_NO_ROUTE, FLOOD_CALLERS_PORT, "/none/00000000000000ff", CELL_HEADERS },
  { "readyz", PLACE_READYZ, FLOOD_READY_PORT, "/api/readyz", CELL_HEADERS },
  { "peers", PLACE_PEERS, FLOOD_PEER_PORT, "/", "Host: peers\r\n" },
  { "entry", PLACE_ENTRY, 0, "/v1/tasks", ENTRY_HEADERS },
  { "entry-metrics", PLACE_ENTRY_METRICS, 0, "/metrics", ENTRY_HEADERS },
};

static bool is_full; /* 1,500 connections and the default limits */

static bool
is_entry (const Place *place)
{
  return place->port == 0;
}

static void
place_address (const FloodDeployment *deployment, const Place *place, char out[32])
{
  if (is_entry (place))
    g_strlcpy (out, cluster_entry (deployment->cluster, 0)->http, 32);
  else
    g_snprintf (out, 32, "%s.1:%u", deployment->prefix, place->port);
}

/* Checks of processes. */

static void fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* The test goes on, so that it reports the figures of all processes. */
static void
fail (const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_test_message ("FAILED: %s", text);
  g_test_fail_printf ("%s", text);
}

static void
set_calm (FloodDeployment *deployment)
{
  flood_deployment_sample (deployment);
  for (uint32_t i = 0; i < deployment->process_count; i++)
    deployment->processes[i].calm_kib = deployment->processes[i].peak_kib;
}

static void
check_process (const FloodProcess *process)
{
  uint64_t bound_kib
      = is_full ? TARGET_MEMORY_KIB : process->calm_kib + INTAKE_MAX_BYTES / 1024 + ALLOWANCE_KIB;
  uint32_t descriptors_bound = is_full ? TARGET_DESCRIPTORS : DESCRIPTORS_BOUND;

  g_test_message ("%s: calm %" G_GUINT64_FORMAT " KiB, peak %" G_GUINT64_FORMAT
                  " of %" G_GUINT64_FORMAT " KiB, %u of %u descriptors",
                  process->name, process->calm_kib, process->peak_kib, bound_kib,
                  process->peak_descriptors, descriptors_bound);
  if (!process->is_alive)
    fail ("%s has ended", process->name);
  if (process->is_stand_in)
    return;
    /* The sanitizers keep freed memory and shadow copies, so resident memory doesn't show what the
     * process itself uses. */
#ifndef VP_SANITIZED
  if (process->peak_kib >= bound_kib)
    fail ("%s took %" G_GUINT64_FORMAT " KiB, the bound is %" G_GUINT64_FORMAT, process->name,
          process->peak_kib, bound_kib);
#endif
  if (process->peak_descriptors >= descriptors_bound)
    fail ("%s had %u descriptors, the bound is %u", process->name, process->peak_descriptors,
          descriptors_bound);
}

/* Requests during the flood, on a thread of their own. */
typedef struct {
  const FloodDeployment *deployment;
  bool is_served; /* an ordinary request was answered with success */
  uint32_t accepted_count;
  uint32_t completed_count;
  int end; /* the flood has ended; atomic */
} Traffic;

/* Calls the nodes in turn until one of them answers as expected. */
static bool
call_until (const Traffic *traffic, const SimJob *job, const char *body, const char *expected)
{
  g_autofree char *path = g_strdup_printf ("/plain/%016" G_GINT64_MODIFIER "x", job->id);
  int64_t end_us = g_get_monotonic_time () + FLOOD_WAIT_MS * G_GINT64_CONSTANT (1000);
  uint32_t host = (uint32_t)(job->id % FLOOD_NODE_COUNT);

  for (; g_get_monotonic_time () < end_us; host = (host + 1) % FLOOD_NODE_COUNT) {
    g_autofree char *address
        = g_strdup_printf ("%s.%u:%d", traffic->deployment->prefix, host + 1, FLOOD_CALLERS_PORT);
    SoakReply reply;
    soak_callers_call (address, body == NULL ? "GET" : "POST", path, SOAK_KEY, body, &reply);
    if (reply.status == 200 && strstr (reply.body, expected) != NULL)
      return true;
    g_usleep (FLOOD_POLL_US);
  }
  return false;
}

static gpointer
submit_jobs (gpointer data)
{
  Traffic *traffic = data;

  for (uint32_t i = 0; i < FLOOD_JOB_COUNT; i++) {
    SimJob *job = flood_job_new (i);
    g_autofree char *body = soak_callers_job_json (job);
    traffic->accepted_count += call_until (traffic, job, body, "") ? 1 : 0;
    simcell_jobs_free (job);
    g_usleep (JOB_INTERVAL_US);
  }
  for (uint32_t i = 0; i < FLOOD_JOB_COUNT; i++) {
    SimJob *job = flood_job_new (i);
    traffic->completed_count += call_until (traffic, job, NULL, "\"completed\"") ? 1 : 0;
    simcell_jobs_free (job);
  }
  return NULL;
}

static gpointer
request_during_flood (gpointer data)
{
  Traffic *traffic = data;

  while (!traffic->is_served && __atomic_load_n (&traffic->end, __ATOMIC_SEQ_CST) == 0) {
    traffic->is_served = flood_deployment_is_serving (traffic->deployment, 1);
    g_usleep (FLOOD_POLL_US);
  }
  return NULL;
}

/* Kinds of floods. */

typedef struct {
  void (*append_stream) (const Place *place, GString *out); /* what each connection sends */
  const char *name;
  FloodDesc desc;  /* without address, stream and number of connections */
  unsigned places; /* PlaceId */
  bool has_jobs;   /* jobs are submitted during the flood */
} Kind;

static void
append_head (const Place *place, const char *method, GString *out)
{
  g_string_append_printf (out, "%s %s HTTP/1.1\r\n%s", method, place->path, place->headers);
}

static void
append_fill (GString *out, gsize size)
{
  gsize before = out->len;

  g_string_set_size (out, before + size);
  memset (out->str + before, 'x', size);
}

static void
append_part (const Place *place, gsize declared_size, gsize sent_size, GString *out)
{
  static const char begin[] = "{\"spec\":\"";

  append_head (place, "POST", out);
  g_string_append_printf (out, "Content-Length: %zu\r\n\r\n%s", declared_size, begin);
  append_fill (out, sent_size - strlen (begin));
}

static void
append_held (const Place *place, GString *out)
{
  append_part (place, BODY_BYTES, BODY_BYTES - WITHHELD_BYTES, out);
}

static void
append_half (const Place *place, GString *out)
{
  append_part (place, BODY_BYTES, BODY_BYTES / 2, out);
}

static void
append_large (const Place *place, GString *out)
{
  append_part (place, LARGE_BYTES, LARGE_SENT_BYTES, out);
}

static void
append_chunked (const Place *place, uint32_t count, uint32_t size, GString *out)
{
  append_head (place, "POST", out);
  g_string_append (out, "Transfer-Encoding: chunked\r\n\r\n");
  for (uint32_t i = 0; i < count; i++) {
    g_string_append_printf (out, "%x\r\n", size);
    append_fill (out, size);
    g_string_append (out, "\r\n");
  }
}

static void
append_chunks (const Place *place, GString *out)
{
  append_chunked (place, CHUNK_COUNT, CHUNK_BYTES, out);
}

static void
append_large_chunks (const Place *place, GString *out)
{
  append_chunked (place, LARGE_SENT_BYTES / LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES, out);
}

static void
append_fields (const Place *place, GString *out)
{
  g_autoptr (GString) body = g_string_new ("{");

  for (uint32_t i = 0; i < FIELD_COUNT; i++)
    g_string_append_printf (body, "%s\"%x\":1", i > 0 ? "," : "", i);
  g_string_append_c (body, '}');
  g_assert_cmpuint (body->len, <=, BODY_BYTES);
  append_head (place, "POST", out);
  g_string_append_printf (out, "Content-Length: %zu\r\n\r\n%s", body->len, body->str);
}

static void
append_pipelined (const Place *place, GString *out)
{
  for (uint32_t i = 0; i < PIPELINED_COUNT; i++) {
    append_head (place, "GET", out);
    g_string_append (out, "\r\n");
  }
}

static void
append_headers (const Place *place, GString *out)
{
  append_head (place, "POST", out);
  g_string_append (out, "Padding: ");
  append_fill (out, HEADER_BYTES);
}

static void
append_nothing (const Place *place, GString *out)
{
  (void)place;
  (void)out;
}

/* clang-format off */
#define BULK(piece)                                                                                \
  { .round_count = 1, .reopen_count = 2, .piece_max = (piece), .read_max = READ_ALL,               \
    .send_max_ms = 10000, .hold_ms = 1500 }
static const Kind kinds[] = {
  /* Bodies of legal size, in one piece and in small ones, all but the last 1,000 bytes sent. */
  { append_held, "held", BULK (READ_ALL), PLACES_CELL | PLACE_ENTRY, false },
  { append_held, "pieces", BULK (1000), PLACES_CELL, false },
  { append_chunks, "chunks", BULK (CHUNK_BYTES + 6), PLACES_CELL | PLACE_ENTRY, false },
  /* Bodies far over the limit, with a length and without one. */
  { append_large, "large", BULK (READ_ALL), PLACES_CELL, false },
  { append_large_chunks, "large-chunks", BULK (READ_ALL), PLACES_CELL, false },
  { append_fields, "fields", BULK (READ_ALL), PLACES_CELL | PLACE_ENTRY, false },
  { append_pipelined, "pipelined",
    { .round_count = 1, .piece_max = READ_ALL, .send_max_ms = 10000, .hold_ms = 1500 },
    PLACES_CELL | PLACE_ENTRY, false },
  { append_headers, "slow-headers",
    { .round_count = 1, .reopen_count = 2, .piece_max = 16, .pause_ms = 20, .read_max = READ_ALL,
      .send_max_ms = 3000, .hold_ms = 500 },
    PLACES_CELL, false },
  { append_pipelined, "slow-readers",
    { .round_count = 1, .piece_max = READ_ALL, .read_max = 1, .send_max_ms = 3000,
      .hold_ms = 1500 },
    PLACES_CELL | PLACE_ENTRY_METRICS, false },
  /* Half of a body, then the end of the stream or a reset, three times. */
  { append_half, "stops",
    { .round_count = 3, .piece_max = READ_ALL, .read_max = READ_ALL, .send_max_ms = 5000,
      .hold_ms = 500, .end = FLOOD_STOPS_HALF_WAY },
    PLACES_CELL | PLACE_ENTRY, false },
  /* At the port of the peers, connections without a byte, and requests of another protocol. */
  { append_nothing, "connections", BULK (READ_ALL), PLACE_PEERS, false },
  { append_held, "bytes", BULK (READ_ALL), PLACE_PEERS, false },
  { append_held, "jobs", BULK (READ_ALL), PLACE_ROUTE, true },
};
/* clang-format on */

typedef struct {
  const Kind *kind;
  const Place *place;
} Case;

static void
run_flood (FloodDeployment *deployment, const Case *test)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GBytes) stream = NULL;
  FloodDesc desc = test->kind->desc;
  char address[32];
  int64_t next_ms = 0;
  Flood *flood;

  test->kind->append_stream (test->place, text);
  stream = g_bytes_new (text->str, text->len);
  place_address (deployment, test->place, address);
  desc.address = address;
  desc.stream = stream;
  desc.connection_count = is_full ? TARGET_CONNECTIONS : CONNECTIONS;
  if (is_full && desc.end == FLOOD_STAYS_OPEN)
    desc.hold_ms = FULL_HOLD_MS;
  flood = flood_new (&desc);
  for (int64_t now_ms = 0; flood_step (flood, now_ms = g_get_monotonic_time () / 1000);) {
    if (now_ms >= next_ms) {
      flood_deployment_sample (deployment);
      next_ms = now_ms + SAMPLE_MS;
    }
    g_usleep (FLOOD_STEP_US);
  }
  g_test_message ("%u connections sent %" G_GUINT64_FORMAT " KiB", desc.connection_count,
                  flood_sent_bytes (flood) / 1024);
  flood_free (flood);
}

static void
sample_afterwards (FloodDeployment *deployment)
{
  for (uint32_t i = 0; i < AFTER_MS / SAMPLE_MS; i++) {
    flood_deployment_sample (deployment);
    g_usleep (SAMPLE_MS * 1000);
  }
}

static void
check_traffic (const Traffic *traffic, bool has_jobs)
{
  if (is_full && !traffic->is_served)
    fail ("no ordinary request was answered during the flood");
  if (!has_jobs)
    return;
  g_test_message ("%u jobs accepted, %u completed", traffic->accepted_count,
                  traffic->completed_count);
  if (traffic->completed_count < FLOOD_JOB_COUNT)
    fail ("%u of %u jobs were accepted, %u completed", traffic->accepted_count, FLOOD_JOB_COUNT,
          traffic->completed_count);
}

static void
test_flood (gconstpointer data)
{
  const Case *test = data;
  FloodDeployment deployment;
  Traffic traffic = { .deployment = &deployment };
  bool has_jobs = test->kind->has_jobs || (is_full && !is_entry (test->place));
  GThread *jobs = NULL, *requests = NULL;

  if (is_entry (test->place))
    flood_deployment_start_entries (&deployment, is_full ? FULL_LIMITS : LIMITS);
  else
    flood_deployment_start_cell (&deployment, is_full ? FULL_LIMITS : LIMITS);
  set_calm (&deployment);
  if (has_jobs)
    jobs = g_thread_new ("jobs", submit_jobs, &traffic);
  if (is_full)
    requests = g_thread_new ("requests", request_during_flood, &traffic);
  run_flood (&deployment, test);
  __atomic_store_n (&traffic.end, 1, __ATOMIC_SEQ_CST);
  sample_afterwards (&deployment);
  if (!flood_deployment_wait_serving (&deployment, 1))
    fail ("no ordinary request was answered after the flood");
  if (requests != NULL)
    g_thread_join (requests);
  if (jobs != NULL)
    g_thread_join (jobs);
  flood_deployment_sample (&deployment);
  for (uint32_t i = 0; i < deployment.process_count; i++)
    check_process (&deployment.processes[i]);
  check_traffic (&traffic, has_jobs);
  flood_deployment_stop (&deployment);
}

static void
add_tests (void)
{
  /* Tests that aren't run would not free theirs. */
  static Case cases[G_N_ELEMENTS (kinds) * G_N_ELEMENTS (places)];

  for (guint k = 0; k < G_N_ELEMENTS (kinds); k++) {
    for (guint p = 0; p < G_N_ELEMENTS (places); p++) {
      g_autofree char *path
          = g_strdup_printf ("/client-flood/%s/%s", kinds[k].name, places[p].name);
      Case *test = &cases[k * G_N_ELEMENTS (places) + p];
      *test = (Case){ .kind = &kinds[k], .place = &places[p] };
      if ((kinds[k].places & places[p].id) != 0)
        g_test_add_data_func (path, test, test_flood);
    }
  }
}

int
main (int argc, char **argv)
{
  if (argc == 3 && strcmp (argv[1], FLOOD_STAND_INS) == 0)
    return flood_stand_ins_main (argv[2]);
  if (argc > 1 && strcmp (argv[1], "--full") == 0) {
    is_full = true;
    argv[1] = argv[0];
    argv++;
    argc--;
  }
  signal (SIGPIPE, SIG_IGN);
  ne_sock_init ();
  g_test_init (&argc, &argv, NULL);
  add_tests ();
  return g_test_run ();
}
