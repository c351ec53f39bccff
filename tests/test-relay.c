/* Batches of commands to relays and their results, and what happens if a relay dies. */
#include "vp-relay-private.h"

#include <string.h>

#define NOW_MS     1000000
#define TERM       7
#define TEXT_BYTES 1000 /* size of the text of a job */

typedef struct {
  VpRelay *relay;
  GHashTable *members;
  VpWorkerList *worker_list;
  VpRelayAgent agent;
  GArray *messages; /* VpRelayMessage */
  GArray *results;  /* VpCommandResult */
  int64_t now_ms;
  uint32_t form; /* of the other processes */
} Fixture;

static void
_add_worker (Fixture *fixture, const char *id, const char *dc)
{
  VpWorkerEntry entry = { .address = "127.0.0.1:1", .service = "service" };

  entry.id = (char *)g_intern_string (id);
  entry.dc = (char *)g_intern_string (dc);
  vp_workerlist_update (fixture->worker_list, &entry);
}

/* Lets a ping of the member, which is listed, arrive. */
static void
_ping (Fixture *fixture, const char *name, const char *dc, uint32_t cpu_milli, int64_t age_ms)
{
  VpMemberState *member = vp_members_get (fixture->members, name);
  VpNodeMsg ping
      = { .kind = VP_NODEMSG_PING, .cpu_milli = cpu_milli, .age_ms = age_ms, .sent_ms = 1 };

  ping.dc = dc;
  ping.count = fixture->form;
  g_strlcpy (member->address, "127.0.0.1:2", sizeof member->address);
  vp_member_handle_ping (member, &ping, fixture->now_ms);
}

static void
_update (Fixture *fixture)
{
  fixture->now_ms += 200;
  vp_relay_update (fixture->relay, fixture->members, fixture->worker_list, fixture->now_ms);
}

/* Sets up a leader with two workers in each of two DCs. */
static void
_setup (Fixture *fixture, uint32_t cpu_milli)
{
  *fixture = (Fixture){ .now_ms = NOW_MS, .form = VP_RELAY_FORM };
  fixture->relay = vp_relay_setup (&(VpRelayDesc){ .term = TERM, .cpu_milli = cpu_milli });
  fixture->members = vp_members_new ();
  fixture->worker_list = vp_workerlist_setup (6000, NOW_MS);
  fixture->messages = g_array_new (FALSE, TRUE, sizeof (VpRelayMessage));
  fixture->results = g_array_new (FALSE, TRUE, sizeof (VpCommandResult));
  _add_worker (fixture, "a1", "a");
  _add_worker (fixture, "a2", "a");
  _add_worker (fixture, "b1", "b");
  _add_worker (fixture, "b2", "b");
}

static void
_clear_messages (Fixture *fixture)
{
  for (guint i = 0; i < fixture->messages->len; i++) {
    VpRelayMessage *out = &g_array_index (fixture->messages, VpRelayMessage, i);
    vp_nodemsg_clear (&out->message);
    g_free (out->to);
  }
  g_array_set_size (fixture->messages, 0);
}

static void
_clear_results (Fixture *fixture)
{
  for (guint i = 0; i < fixture->results->len; i++)
    vp_command_result_clear (&g_array_index (fixture->results, VpCommandResult, i));
  g_array_set_size (fixture->results, 0);
}

static void
_teardown (Fixture *fixture)
{
  _clear_messages (fixture);
  _clear_results (fixture);
  g_array_unref (fixture->messages);
  g_array_unref (fixture->results);
  vp_relay_agent_clear (&fixture->agent);
  vp_relay_shutdown (fixture->relay);
  g_hash_table_unref (fixture->members);
  vp_workerlist_shutdown (fixture->worker_list);
}

/* Adds a start of a task of job 1. Returns false if the leader has to send it itself. */
static bool
_try_start (Fixture *fixture, const char *worker, uint32_t index)
{
  VpCommand command = { .kind = VP_COMMAND_START,
                        .address = "127.0.0.1:1",
                        .task = { .job = 1, .index = index },
                        .run = 1,
                        .fence = TERM,
                        .lease_end_ms = 5000,
                        .text = g_strnfill (TEXT_BYTES, 'x'),
                        .ticket = g_strdup ("ticket") };
  bool is_relayed;

  command.worker = g_strdup (worker);
  is_relayed = vp_relay_add (fixture->relay, &command, fixture->now_ms);
  vp_command_clear (&command);
  return is_relayed;
}

/* Adds a start of a task of job 1, which must go to a relay. */
static void
_add_start (Fixture *fixture, const char *worker, uint32_t index)
{
  bool is_relayed = _try_start (fixture, worker, index);

  g_assert_true (is_relayed);
}

/* Collects the batches that are due, with their bodies sunk. */
static void
_flush (Fixture *fixture)
{
  _clear_messages (fixture);
  fixture->now_ms += 50;
  vp_relay_flush (fixture->relay, fixture->now_ms, fixture->messages);
  for (guint i = 0; i < fixture->messages->len; i++) {
    VpRelayMessage *out = &g_array_index (fixture->messages, VpRelayMessage, i);
    g_variant_ref_sink (out->message.body);
    g_strlcpy (out->message.from, "leader", sizeof out->message.from);
  }
}

/* Lets the relay take the batch @index. Returns the commands. */
static GArray *
_take_commands (Fixture *fixture, guint index, GArray *refused)
{
  GArray *commands = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  const VpRelayMessage *out = &g_array_index (fixture->messages, VpRelayMessage, index);

  g_assert_true (vp_relay_agent_handle_commands (&fixture->agent, &out->message,
                                                 fixture->now_ms + VP_COMMAND_START_EXPIRY_MS,
                                                 fixture->now_ms, commands, refused));
  return commands;
}

static void
_free_commands (GArray *commands)
{
  for (guint i = 0; i < commands->len; i++)
    vp_command_clear (&g_array_index (commands, VpCommand, i));
  g_array_unref (commands);
}

/* Lets the relay @from return @result to the leader. */
static void
_return_result (Fixture *fixture, const char *from, const VpCommandResult *result)
{
  VpRelayMessage out;

  vp_relay_agent_add_result (&fixture->agent, result, fixture->form, fixture->now_ms, &out);
  g_assert_null (out.to);
  g_assert_true (vp_relay_agent_take (&fixture->agent, fixture->now_ms, &out));
  g_assert_cmpstr (out.to, ==, "leader");
  g_variant_ref_sink (out.message.body);
  g_strlcpy (out.message.from, from, sizeof out.message.from);
  vp_relay_handle_results (fixture->relay, &out.message, fixture->now_ms, fixture->results);
  vp_nodemsg_clear (&out.message);
  g_free (out.to);
}

/* A leader that can call its workers itself has no relays. */
static void
test_small_cell (void)
{
  Fixture fixture;
  bool is_relayed;

  _setup (&fixture, 125);
  _ping (&fixture, "n1", "a", 125, 5000);
  _update (&fixture);
  is_relayed = _try_start (&fixture, "a1", 0);
  g_assert_false (is_relayed);
  _teardown (&fixture);
}

/* Commands go to the strongest process in the worker's DC, in one batch, and their results come
 * back with lists of runs and ends. */
static void
test_round_trip (void)
{
  Fixture fixture;
  GArray *commands;
  const VpCommand *command;
  const VpCommandResult *result;
  VpCommandResult sent = { .outcome = VP_COMMAND_OK, .clock_ms = 77, .booted_ms = 5 };
  VpEndedEntry end = { .number = 3, .task = { .job = 9, .index = 2 }, .is_task = true, .run = 4 };

  _setup (&fixture, 4);
  _ping (&fixture, "weak", "a", 100, 5000);
  _ping (&fixture, "strong", "a", 500, 5000);
  _ping (&fixture, "other", "b", 100, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _add_start (&fixture, "a2", 1);
  _flush (&fixture);
  g_assert_cmpuint (fixture.messages->len, ==, 1);
  g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "strong");
  commands = _take_commands (&fixture, 0, fixture.results);
  g_assert_cmpuint (commands->len, ==, 2);
  command = &g_array_index (commands, VpCommand, 1);
  g_assert_cmpstr (command->worker, ==, "a2");
  g_assert_cmpuint (strlen (command->text), ==, TEXT_BYTES);
  g_assert_cmpstr (command->ticket, ==, "ticket");
  g_assert_cmpuint (command->fence, ==, TERM);
  g_assert_cmpint (command->lease_end_ms, ==, 5000);
  vp_command_result_begin (&sent, command, fixture.now_ms);
  sent.ended = vp_command_ended_new ();
  g_array_append_val (sent.ended, end);
  _return_result (&fixture, "strong", &sent);
  vp_command_result_clear (&sent);
  g_assert_cmpuint (fixture.results->len, ==, 1);
  result = &g_array_index (fixture.results, VpCommandResult, 0);
  g_assert_cmpstr (result->worker, ==, "a2");
  g_assert_cmpuint (result->task.index, ==, 1);
  g_assert_cmpint (result->outcome, ==, VP_COMMAND_OK);
  g_assert_cmpint (result->clock_ms, ==, 77);
  g_assert_cmpuint (result->ended->len, ==, 1);
  g_assert_cmpuint (g_array_index (result->ended, VpEndedEntry, 0).run, ==, 4);
  _free_commands (commands);
  _teardown (&fixture);
}

/* Guards against commands that are sent to nobody: the pings of a process arrive before its address
 * is listed. */
static void
test_unlisted_relay (void)
{
  Fixture fixture;
  bool is_relayed;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  vp_members_get (fixture.members, "strong")->address[0] = '\0';
  _update (&fixture);
  is_relayed = _try_start (&fixture, "a1", 0);
  g_assert_false (is_relayed);
  _ping (&fixture, "strong", "a", 500, 5400);
  _update (&fixture);
  _add_start (&fixture, "a1", 1);
  _teardown (&fixture);
}

/* Guards against commands that wait for a relay that has died with them: their results are
 * uncertain after less than a second, and another process gets the next ones. */
static void
test_dead_relay (void)
{
  Fixture fixture;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _ping (&fixture, "weak", "a", 100, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  for (int64_t end_ms = fixture.now_ms + 900; fixture.now_ms < end_ms; fixture.now_ms += 50)
    vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  g_assert_cmpuint (fixture.results->len, ==, 1);
  g_assert_cmpint (g_array_index (fixture.results, VpCommandResult, 0).outcome, ==,
                   VP_COMMAND_UNCERTAIN);
  _ping (&fixture, "weak", "a", 100, 6000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "weak");
  _teardown (&fixture);
}

/* Returns the result of one command of @commands, answered by its worker. */
static void
_answer (Fixture *fixture, const char *from, const VpCommand *command)
{
  VpCommandResult sent = { .outcome = VP_COMMAND_OK, .clock_ms = 77 };

  vp_command_result_begin (&sent, command, fixture->now_ms);
  _return_result (fixture, from, &sent);
  vp_command_result_clear (&sent);
}

/* Guards against a silent worker that is taken for a slow relay, so that the commands of all other
 * workers of that relay count as uncertain and are repeated through relays that then look slow as
 * well. Only the silent worker's command becomes uncertain. */
static void
test_silent_worker (void)
{
  Fixture fixture;
  GArray *silent, *commands;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _ping (&fixture, "weak", "a", 100, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  silent = _take_commands (&fixture, 0, fixture.results);
  for (uint32_t i = 1; i <= 20; i++) {
    _ping (&fixture, "strong", "a", 500, 5000 + 100 * i);
    _add_start (&fixture, "a2", i);
    _flush (&fixture);
    g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "strong");
    commands = _take_commands (&fixture, 0, fixture.results);
    /* The last command is still at its worker when the silent worker's is overdue. */
    if (i < 20)
      _answer (&fixture, "strong", &g_array_index (commands, VpCommand, 0));
    _free_commands (commands);
    fixture.now_ms += 50;
    if (i < 16)
      vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  }
  _clear_results (&fixture);
  vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  g_assert_cmpuint (fixture.results->len, ==, 1);
  g_assert_cmpstr (g_array_index (fixture.results, VpCommandResult, 0).worker, ==, "a1");
  g_assert_cmpint (g_array_index (fixture.results, VpCommandResult, 0).outcome, ==,
                   VP_COMMAND_UNCERTAIN);
  _ping (&fixture, "strong", "a", 500, 7500);
  _update (&fixture);
  _add_start (&fixture, "a2", 30);
  _flush (&fixture);
  g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "strong");
  _free_commands (silent);
  _teardown (&fixture);
}

/* Lets 2 s pass in which the relay "strong" of DC "a" pings but returns nothing. The relay "other"
 * of DC "b" answers its commands if @is_other_answering. Returns the number of results for workers
 * of DC "a". */
static uint32_t
_run_slow_relay (Fixture *fixture, bool is_other_answering)
{
  uint32_t count = 0;

  _ping (fixture, "strong", "a", 500, 5000);
  _ping (fixture, "weak", "a", 100, 5000);
  _ping (fixture, "other", "b", 500, 5000);
  _update (fixture);
  _add_start (fixture, "a1", 0);
  _add_start (fixture, "a2", 1);
  for (uint32_t i = 1; i <= 20; i++) {
    fixture->now_ms += 50;
    _ping (fixture, "strong", "a", 500, 5000 + 100 * i);
    _ping (fixture, "weak", "a", 100, 5000 + 100 * i);
    _ping (fixture, "other", "b", 500, 5000 + 100 * i);
    vp_relay_expire (fixture->relay, fixture->now_ms, fixture->results);
    vp_relay_update (fixture->relay, fixture->members, fixture->worker_list, fixture->now_ms);
    for (guint j = 0; j < fixture->results->len; j++)
      count += g_array_index (fixture->results, VpCommandResult, j).worker[0] == 'a' ? 1 : 0;
    _clear_results (fixture);
    _add_start (fixture, "b1", i);
    _flush (fixture);
    for (guint j = 0; j < fixture->messages->len && is_other_answering; j++) {
      GArray *commands = _take_commands (fixture, j, fixture->results);
      const VpCommand *last = &g_array_index (commands, VpCommand, commands->len - 1);
      if (last->worker[0] == 'b')
        _answer (fixture, "other", last);
      _free_commands (commands);
    }
  }
  _update (fixture);
  _add_start (fixture, "a1", 30);
  _flush (fixture);
  return count;
}

/* Guards against a relay that still pings but whose commands pile up: if it has answered none of
 * the commands since an overdue one, while another relay answers, it is avoided. */
static void
test_overloaded_relay (void)
{
  Fixture fixture;
  uint32_t count;

  _setup (&fixture, 4);
  count = _run_slow_relay (&fixture, true);
  g_assert_cmpuint (count, ==, 2);
  g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "weak");
  _teardown (&fixture);
}

/* Guards against a leader that is behind with the results of all relays and takes that for slow
 * relays: it would give up results that wait to be received, repeat their commands, and move all
 * workers to weaker relays without connections to them. */
static void
test_leader_behind (void)
{
  Fixture fixture;
  uint32_t count;

  _setup (&fixture, 4);
  count = _run_slow_relay (&fixture, false);
  g_assert_cmpuint (count, ==, 0);
  g_assert_cmpstr (g_array_index (fixture.messages, VpRelayMessage, 0).to, ==, "strong");
  fixture.now_ms += 1600;
  _ping (&fixture, "strong", "a", 500, 9000);
  _ping (&fixture, "other", "b", 500, 9000);
  vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  for (guint i = 0; i < fixture.results->len; i++)
    count += g_array_index (fixture.results, VpCommandResult, i).task.index < 2 ? 1 : 0;
  g_assert_cmpuint (count, >=, 2);
  _teardown (&fixture);
}

/* Guards against a delay in each step of a job: commands and results after a pause aren't held back
 * for others. Those that follow soon wait for each other, which bounds the number of batches. */
static void
test_batch_interval (void)
{
  Fixture fixture;
  VpCommand command = { .kind = VP_COMMAND_START, .fence = TERM, .requester = g_strdup ("leader") };
  VpCommandResult sent = { .outcome = VP_COMMAND_OK };
  VpRelayMessage out;
  uint32_t batches = 0;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  g_assert_cmpint (vp_relay_next_ms (fixture.relay), <=, fixture.now_ms);
  for (uint32_t i = 1; i <= 100; i++) {
    _clear_messages (&fixture);
    vp_relay_flush (fixture.relay, fixture.now_ms, fixture.messages);
    batches += fixture.messages->len;
    if (fixture.messages->len > 0)
      g_variant_ref_sink (g_array_index (fixture.messages, VpRelayMessage, 0).message.body);
    g_assert_true (i > 1 || batches == 1);
    fixture.now_ms++;
    _add_start (&fixture, "a1", i);
  }
  g_assert_cmpuint (batches, ==, 9);
  vp_command_result_begin (&sent, &command, fixture.now_ms);
  vp_relay_agent_add_result (&fixture.agent, &sent, VP_RELAY_FORM, fixture.now_ms, &out);
  g_assert_cmpint (vp_relay_agent_due_ms (&fixture.agent), <=, fixture.now_ms);
  g_assert_true (vp_relay_agent_take (&fixture.agent, fixture.now_ms, &out));
  g_variant_unref (g_variant_ref_sink (out.message.body));
  g_free (out.to);
  vp_relay_agent_add_result (&fixture.agent, &sent, VP_RELAY_FORM, fixture.now_ms + 1, &out);
  g_assert_cmpint (vp_relay_agent_due_ms (&fixture.agent), >, fixture.now_ms + 1);
  vp_command_result_clear (&sent);
  vp_command_clear (&command);
  _teardown (&fixture);
}

/* Guards against a leader that gives up the commands of all relays after it was stopped for a
 * while: their pings and results are still to be received. A relay that stays silent after that is
 * given up.
 */
static void
test_leader_stopped (void)
{
  Fixture fixture;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _update (&fixture);
  vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  _clear_messages (&fixture);
  fixture.now_ms += 1500;
  vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  g_assert_cmpuint (fixture.results->len, ==, 0);
  for (int64_t end_ms = fixture.now_ms + 900; fixture.now_ms < end_ms; fixture.now_ms += 50)
    vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  g_assert_cmpuint (fixture.results->len, ==, 1);
  _teardown (&fixture);
}

/* Guards against a result that is taken for that of another HOLD to the worker: the second one is
 * answered before the first one, and the relay doesn't know their numbers. */
static void
test_hold_numbers (void)
{
  Fixture fixture;
  GArray *commands;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _update (&fixture);
  for (uint32_t number = 5; number <= 6; number++) {
    VpCommand command = { .kind = VP_COMMAND_HOLD,
                          .worker = g_strdup ("a1"),
                          .address = "127.0.0.1:1",
                          .fence = TERM,
                          .hold = number };
    g_assert_true (vp_relay_add (fixture.relay, &command, fixture.now_ms));
  }
  _flush (&fixture);
  commands = _take_commands (&fixture, 0, fixture.results);
  for (guint i = 2; i > 0; i--) {
    VpCommandResult sent = { .outcome = VP_COMMAND_OK, .clock_ms = 77 };
    vp_command_result_begin (&sent, &g_array_index (commands, VpCommand, i - 1), fixture.now_ms);
    _return_result (&fixture, "strong", &sent);
    vp_command_result_clear (&sent);
    g_assert_cmpuint (g_array_index (fixture.results, VpCommandResult, 2 - i).hold, ==, 4 + i);
  }
  _free_commands (commands);
  _teardown (&fixture);
}

/* Guards against losing what a worker said because its answer came after the command was given up:
 * with all relays slow, the leader knew nothing of workers that answered, and started tasks again
 * that were done. The result is reported once and marked as late; after 15 s it is dropped. */
static void
test_late_result (void)
{
  Fixture fixture;
  GArray *commands;
  VpCommandResult sent = { .outcome = VP_COMMAND_OK, .clock_ms = 77 };
  const VpCommandResult *result;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _add_start (&fixture, "a1", 1);
  _flush (&fixture);
  commands = _take_commands (&fixture, 0, fixture.results);
  for (int64_t end_ms = fixture.now_ms + 900; fixture.now_ms < end_ms; fixture.now_ms += 50)
    vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  g_assert_cmpuint (fixture.results->len, ==, 2);
  result = &g_array_index (fixture.results, VpCommandResult, 0);
  g_assert_cmpint (result->outcome, ==, VP_COMMAND_UNCERTAIN);
  g_assert_false (result->is_late);
  g_assert_true (result->is_given_up);
  _clear_results (&fixture);
  vp_command_result_begin (&sent, &g_array_index (commands, VpCommand, 0), fixture.now_ms);
  _return_result (&fixture, "strong", &sent);
  g_assert_cmpuint (fixture.results->len, ==, 1);
  result = &g_array_index (fixture.results, VpCommandResult, 0);
  g_assert_true (result->is_late);
  g_assert_false (result->is_given_up);
  g_assert_cmpint (result->outcome, ==, VP_COMMAND_OK);
  g_assert_cmpint (result->clock_ms, ==, 77);
  g_assert_cmpuint (result->task.index, ==, 0);
  _clear_results (&fixture);
  _return_result (&fixture, "strong", &sent);
  g_assert_cmpuint (fixture.results->len, ==, 0);
  fixture.now_ms += 16000;
  vp_relay_expire (fixture.relay, fixture.now_ms, fixture.results);
  vp_command_result_begin (&sent, &g_array_index (commands, VpCommand, 1), fixture.now_ms);
  _return_result (&fixture, "strong", &sent);
  g_assert_cmpuint (fixture.results->len, ==, 0);
  vp_command_result_clear (&sent);
  _free_commands (commands);
  _teardown (&fixture);
}

/* Guards against a job's text that fills the leader's link: each relay gets it once. A relay that
 * has restarted gets it again, and one that lacks it says that the run wasn't started. */
static void
test_text_once (void)
{
  Fixture fixture;
  GArray *commands;
  gsize size;

  _setup (&fixture, 4);
  _ping (&fixture, "strong", "a", 500, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  size = g_variant_get_size (g_array_index (fixture.messages, VpRelayMessage, 0).message.body);
  g_assert_cmpuint (size, >, TEXT_BYTES);
  _free_commands (_take_commands (&fixture, 0, fixture.results));
  _add_start (&fixture, "a1", 1);
  _flush (&fixture);
  size = g_variant_get_size (g_array_index (fixture.messages, VpRelayMessage, 0).message.body);
  g_assert_cmpuint (size, <, TEXT_BYTES);
  commands = _take_commands (&fixture, 0, fixture.results);
  g_assert_cmpuint (strlen (g_array_index (commands, VpCommand, 0).text), ==, TEXT_BYTES);
  _free_commands (commands);
  /* The relay restarts, and the leader hasn't heard of it yet. */
  vp_relay_agent_clear (&fixture.agent);
  memset (&fixture.agent, 0, sizeof fixture.agent);
  _add_start (&fixture, "a1", 2);
  _flush (&fixture);
  commands = _take_commands (&fixture, 0, fixture.results);
  g_assert_cmpuint (commands->len, ==, 0);
  g_assert_cmpint (g_array_index (fixture.results, VpCommandResult, 0).outcome, ==,
                   VP_COMMAND_LATE);
  _free_commands (commands);
  /* Its next ping tells. */
  _ping (&fixture, "strong", "a", 500, 10);
  _update (&fixture);
  _add_start (&fixture, "a1", 3);
  _flush (&fixture);
  commands = _take_commands (&fixture, 0, fixture.results);
  g_assert_cmpuint (commands->len, ==, 1);
  _free_commands (commands);
  _teardown (&fixture);
}

/* Batches with indexes out of range and bodies of another type are refused. */
static void
test_malformed (void)
{
  g_autoptr (GArray) commands = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  g_autoptr (GArray) results = g_array_new (FALSE, FALSE, sizeof (VpCommandResult));
  VpRelayAgent agent = { 0 };
  VpNodeMsg message = { .kind = VP_NODEMSG_COMMANDS, .from = "leader" };
  VpCommand command = { .kind = VP_COMMAND_START, .ticket = g_strdup ("ticket") };
  g_autoptr (GByteArray) packed = g_byte_array_new ();

  g_assert_false (
      vp_relay_agent_handle_commands (&agent, &message, NOW_MS, NOW_MS, commands, results));
  message.body = g_variant_ref_sink (g_variant_new_string ("x"));
  g_assert_false (
      vp_relay_agent_handle_commands (&agent, &message, NOW_MS, NOW_MS, commands, results));
  vp_nodemsg_clear (&message);
  /* An index of a worker that isn't there, then every truncation of the command and a kind that
   * doesn't exist. */
  vp_relay_pack_command (packed, &command, 1, 5, 0);
  for (guint size = packed->len; size > 0; size--) {
    message.body = g_variant_ref_sink (g_variant_new (
        "(@a(ss)@as@ay)", g_variant_new_parsed (size == packed->len ? "@a(ss) []" : "[('a', 'b')]"),
        g_variant_new_parsed ("['text']"),
        g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, packed->data, size, 1)));
    g_assert_false (
        vp_relay_agent_handle_commands (&agent, &message, NOW_MS, NOW_MS, commands, results));
    vp_nodemsg_clear (&message);
    packed->data[5] = 0;
  }
  packed->data[4] = VP_COMMAND_THROTTLE + 1;
  message.body = g_variant_ref_sink (g_variant_new (
      "(@a(ss)@as@ay)", g_variant_new_parsed ("[('a', 'b')]"), g_variant_new_parsed ("['text']"),
      g_variant_new_fixed_array (G_VARIANT_TYPE_BYTE, packed->data, packed->len, 1)));
  g_assert_false (
      vp_relay_agent_handle_commands (&agent, &message, NOW_MS, NOW_MS, commands, results));
  g_assert_cmpuint (commands->len, ==, 0);
  vp_nodemsg_clear (&message);
  vp_command_clear (&command);
  vp_relay_agent_clear (&agent);
}

/* Guards against a start that arrives at its relay late and is still sent. Other commands are. */
static void
test_expired_start (void)
{
  Fixture fixture;
  g_autoptr (GArray) refused = g_array_new (FALSE, FALSE, sizeof (VpCommandResult));
  GArray *commands;
  VpCommand stop = { .kind = VP_COMMAND_STOP, .worker = g_strdup ("a1"), .run = 1, .fence = TERM };
  bool is_relayed;

  _setup (&fixture, 4);
  _ping (&fixture, "n1", "a", 125, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  is_relayed = vp_relay_add (fixture.relay, &stop, fixture.now_ms);
  g_assert_true (is_relayed);
  _flush (&fixture);
  g_assert_cmpuint (fixture.messages->len, ==, 1);
  commands = g_array_new (FALSE, FALSE, sizeof (VpCommand));
  g_assert_true (vp_relay_agent_handle_commands (
      &fixture.agent, &g_array_index (fixture.messages, VpRelayMessage, 0).message,
      fixture.now_ms - 1, fixture.now_ms, commands, refused));
  g_assert_cmpuint (commands->len, ==, 1);
  g_assert_cmpint (g_array_index (commands, VpCommand, 0).kind, ==, VP_COMMAND_STOP);
  g_assert_cmpuint (refused->len, ==, 1);
  g_assert_cmpint (g_array_index (refused, VpCommandResult, 0).outcome, ==, VP_COMMAND_EXPIRED);
  vp_command_result_clear (&g_array_index (refused, VpCommandResult, 0));
  _free_commands (commands);
  _teardown (&fixture);
}

/* Guards against a start that counts as new at its relay although the leader was stopped between
 * giving and sending it: a batch waits for a short time after the one before. */
static void
test_send_time_of_waiting_batch (void)
{
  Fixture fixture;
  int64_t given_ms;

  _setup (&fixture, 4);
  _ping (&fixture, "n1", "a", 125, 5000);
  _update (&fixture);
  _add_start (&fixture, "a1", 0);
  _flush (&fixture);
  g_assert_cmpuint (fixture.messages->len, ==, 1);
  given_ms = fixture.now_ms + 1;
  fixture.now_ms = given_ms;
  _add_start (&fixture, "a1", 1);
  fixture.now_ms += 5;
  _add_start (&fixture, "a1", 2);
  fixture.now_ms += 5000;
  _flush (&fixture);
  g_assert_cmpuint (fixture.messages->len, ==, 1);
  g_assert_cmpint (g_array_index (fixture.messages, VpRelayMessage, 0).message.sent_ms, ==,
                   given_ms);
  /* The next batch has a time of its own. */
  given_ms = fixture.now_ms;
  _add_start (&fixture, "a1", 3);
  _flush (&fixture);
  g_assert_cmpint (g_array_index (fixture.messages, VpRelayMessage, 0).message.sent_ms, ==,
                   given_ms);
  _teardown (&fixture);
}

/* Guards against a HOLD that loses the life of the worker to which its acknowledgement belongs. */
static void
test_acknowledgement (void)
{
  g_autoptr (GByteArray) packed = g_byte_array_new ();
  VpCommand hold = { .kind = VP_COMMAND_HOLD,
                     .lease_end_ms = 486000,
                     .acked_end = 57,
                     .booted_ms = 1796488110581,
                     .wait_ms = 2000 };
  VpRelayPacked out = { 0 };
  gsize offset = 0;

  vp_relay_pack_command (packed, &hold, 1, 5, 0);
  g_assert_true (vp_relay_unpack_command (packed->data, packed->len, &offset, &out));
  g_assert_cmpuint (out.command.acked_end, ==, hold.acked_end);
  g_assert_cmpint (out.command.booted_ms, ==, hold.booted_ms);
  g_assert_cmpint (out.command.lease_end_ms, ==, hold.lease_end_ms);
  g_assert_cmpint (out.command.wait_ms, ==, hold.wait_ms);
}

/* A batch of results that ends early gives the results before that, and nothing of the last one. */
static void
test_truncated_results (void)
{
  VpRunningEntry running
      = { .task = { .job = 9, .step = 1 }, .run = 2, .checkpoint = g_strdup ("c") };
  VpEndedEntry ended
      = { .number = 3, .run = 4, .end = VP_RUN_FAILED, .checkpoint = g_strdup ("d") };
  VpCommandResult sent = { .serial = 5, .outcome = VP_COMMAND_OK, .clock_ms = -1 };
  VpCommandResult result = { 0 };
  g_autoptr (GByteArray) packed = g_byte_array_new ();
  gsize offset = 0;
  bool is_valid;

  sent.running = vp_command_running_new ();
  sent.ended = vp_command_ended_new ();
  g_array_append_val (sent.running, running);
  g_array_append_val (sent.ended, ended);
  vp_relay_pack_result (packed, &sent, VP_RELAY_FORM);
  vp_command_result_clear (&sent);
  for (gsize size = 1; size < packed->len; size++) {
    offset = 0;
    is_valid = vp_relay_unpack_result (packed->data, size, &offset, VP_RELAY_FORM, &result);
    g_assert_false (is_valid);
  }
  is_valid = vp_relay_unpack_result (packed->data, packed->len, &offset, VP_RELAY_FORM, &result);
  g_assert_true (is_valid);
  g_assert_cmpuint (offset, ==, packed->len);
  g_assert_cmpuint (result.serial, ==, 5);
  g_assert_cmpint (result.clock_ms, ==, -1);
  g_assert_cmpuint (g_array_index (result.running, VpRunningEntry, 0).task.job, ==, 9);
  g_assert_cmpstr (g_array_index (result.running, VpRunningEntry, 0).checkpoint, ==, "c");
  g_assert_cmpint (g_array_index (result.ended, VpEndedEntry, 0).end, ==, VP_RUN_FAILED);
  g_assert_cmpstr (g_array_index (result.ended, VpEndedEntry, 0).checkpoint, ==, "d");
  vp_command_result_clear (&result);
}

/* Returns a start for "a1" with a checkpoint and a ticket of @size bytes. */
static VpCommand
_long_start (guint size)
{
  return (VpCommand){ .kind = VP_COMMAND_START,
                      .worker = g_strdup ("a1"),
                      .address = "127.0.0.1:1",
                      .task = { .job = 1 },
                      .run = 1,
                      .fence = TERM,
                      .checkpoint = g_strnfill (size, 'c'),
                      .ticket = g_strnfill (size, 't') };
}

/* Guards against checkpoints and tickets that are cut or lost on their way to a relay, and against
 * checkpoints that are cut on the way back. */
static void
test_long_texts (void)
{
  static const guint sizes[] = { 1, 63, 64, 254, 255, 256, 5000 };

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++) {
    Fixture fixture;
    VpCommand start = _long_start (sizes[i]);
    VpRunningEntry running = { .run = 1, .checkpoint = g_strnfill (sizes[i], 'r') };
    VpEndedEntry ended = { .number = 1, .run = 1, .checkpoint = g_strnfill (sizes[i], 'e') };
    VpCommandResult sent = { .outcome = VP_COMMAND_OK, .clock_ms = 77 };
    const VpCommandResult *result;
    GArray *commands;
    bool is_relayed;
    _setup (&fixture, 4);
    _ping (&fixture, "n1", "a", 500, 5000);
    _update (&fixture);
    is_relayed = vp_relay_add (fixture.relay, &start, fixture.now_ms);
    g_assert_true (is_relayed);
    _flush (&fixture);
    commands = _take_commands (&fixture, 0, fixture.results);
    g_assert_cmpuint (strlen (g_array_index (commands, VpCommand, 0).checkpoint), ==, sizes[i]);
    g_assert_cmpuint (strlen (g_array_index (commands, VpCommand, 0).ticket), ==, sizes[i]);
    vp_command_result_begin (&sent, &g_array_index (commands, VpCommand, 0), fixture.now_ms);
    sent.running = vp_command_running_new ();
    sent.ended = vp_command_ended_new ();
    g_array_append_val (sent.running, running);
    g_array_append_val (sent.ended, ended);
    _return_result (&fixture, "n1", &sent);
    vp_command_result_clear (&sent);
    result = &g_array_index (fixture.results, VpCommandResult, 0);
    g_assert_cmpuint (strlen (g_array_index (result->running, VpRunningEntry, 0).checkpoint), ==,
                      sizes[i]);
    g_assert_cmpuint (strlen (g_array_index (result->ended, VpEndedEntry, 0).checkpoint), ==,
                      sizes[i]);
    _free_commands (commands);
    _teardown (&fixture);
  }
}

/* Guards against a batch that a relay of an earlier version refuses as a whole, as one command in
 * it has a text that is too long for it. The leader sends such a command itself. */
static void
test_long_texts_to_earlier_version (void)
{
  Fixture fixture;
  VpCommand start = _long_start (63);
  bool is_relayed;

  _setup (&fixture, 4);
  fixture.form = 0;
  _ping (&fixture, "n1", "a", 500, 5000);
  _update (&fixture);
  is_relayed = vp_relay_add (fixture.relay, &start, fixture.now_ms);
  g_assert_true (is_relayed);
  start = _long_start (64);
  is_relayed = vp_relay_add (fixture.relay, &start, fixture.now_ms);
  g_assert_false (is_relayed);
  g_assert_cmpuint (strlen (start.checkpoint), ==, 64);
  vp_command_clear (&start);
  /* Once the process has restarted with this version it gets all commands. */
  fixture.form = VP_RELAY_FORM;
  _ping (&fixture, "n1", "a", 500, 100);
  _update (&fixture);
  start = _long_start (64);
  is_relayed = vp_relay_add (fixture.relay, &start, fixture.now_ms);
  g_assert_true (is_relayed);
  _teardown (&fixture);
}

/* Guards against a checkpoint that was cut by a relay of an earlier version, or makes a leader of
 * one refuse the results. It counts as none, and shorter ones are kept. */
static void
test_long_texts_from_earlier_version (void)
{
  static const struct {
    guint size;
    uint32_t pack_form, unpack_form;
    guint expected;
  } rows[] = { { 62, 0, 1, 62 }, { 63, 0, 1, 63 }, { 64, 0, 1, 0 },
               { 62, 1, 0, 62 }, { 63, 1, 0, 0 },  { 64, 1, 1, 64 } };

  for (guint i = 0; i < G_N_ELEMENTS (rows); i++) {
    g_autoptr (GByteArray) packed = g_byte_array_new ();
    VpRunningEntry running = { .run = 1, .checkpoint = g_strnfill (rows[i].size, 'r') };
    VpCommandResult sent = { .outcome = VP_COMMAND_OK };
    VpCommandResult result = { 0 };
    gsize offset = 0;
    bool is_valid;
    sent.running = vp_command_running_new ();
    g_array_append_val (sent.running, running);
    vp_relay_pack_result (packed, &sent, rows[i].pack_form);
    is_valid
        = vp_relay_unpack_result (packed->data, packed->len, &offset, rows[i].unpack_form, &result);
    g_assert_true (is_valid);
    g_assert_cmpuint (
        strlen (vp_text (g_array_index (result.running, VpRunningEntry, 0).checkpoint)), ==,
        rows[i].expected);
    vp_command_result_clear (&sent);
    vp_command_result_clear (&result);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/relay/acknowledgement", test_acknowledgement);
  g_test_add_func ("/relay/small-cell", test_small_cell);
  g_test_add_func ("/relay/round-trip", test_round_trip);
  g_test_add_func ("/relay/unlisted", test_unlisted_relay);
  g_test_add_func ("/relay/dead-relay", test_dead_relay);
  g_test_add_func ("/relay/silent-worker", test_silent_worker);
  g_test_add_func ("/relay/overloaded-relay", test_overloaded_relay);
  g_test_add_func ("/relay/leader-behind", test_leader_behind);
  g_test_add_func ("/relay/batch-interval", test_batch_interval);
  g_test_add_func ("/relay/leader-stopped", test_leader_stopped);
  g_test_add_func ("/relay/hold-numbers", test_hold_numbers);
  g_test_add_func ("/relay/late-result", test_late_result);
  g_test_add_func ("/relay/text-once", test_text_once);
  g_test_add_func ("/relay/malformed", test_malformed);
  g_test_add_func ("/relay/expired-start", test_expired_start);
  g_test_add_func ("/relay/send-time-of-waiting-batch", test_send_time_of_waiting_batch);
  g_test_add_func ("/relay/truncated-results", test_truncated_results);
  g_test_add_func ("/relay/long-texts", test_long_texts);
  g_test_add_func ("/relay/long-texts-to-earlier-version", test_long_texts_to_earlier_version);
  g_test_add_func ("/relay/long-texts-from-earlier-version", test_long_texts_from_earlier_version);
  return g_test_run ();
}
