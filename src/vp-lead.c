#include "vp-lead.h"

#include <string.h>

/* The leader pings every 200 ms. After two pings missed the others watch the record, ... */
#define VP_LEAD_LISTEN_MS 450
/* ... and after three they may take its place. */
#define VP_LEAD_SILENT_MS 650
/* Interval of reads of the record while the leader is suspected. */
#define VP_LEAD_READ_MS 150
/* A leader writes the record at least every 400 ms. */
#define VP_LEAD_STILL_MS 500
/* A leader that has not been able to write for this long gives way to a process that can. */
#define VP_LEAD_STORE_AGE_MS 500
/* While claims of several processes may collide, each waits for a time of its own. */
#define VP_LEAD_SPREAD_MS 150
/* At the start no process knows the others' strength: one on a whole core waits this long before
 * its first claim, the others longer in proportion, down to this part of a core. */
#define VP_LEAD_START_MS        25
#define VP_LEAD_START_MILLI_MIN 50
/* While a process on a stronger VM is heard, the others leave the claim to it for this long: it
 * reads the record at the same interval, and its first ping tells of the claim. */
#define VP_LEAD_WEAK_WAIT_MS 350
/* The leader counts as known for this long after its last ping. */
#define VP_LEAD_KNOWN_MS 1000

void
vp_lead_setup (VpLead *lead, const char *name, uint32_t cpu_milli, int64_t now_ms)
{
  memset (lead, 0, sizeof *lead);
  lead->cpu_milli = cpu_milli;
  g_strlcpy (lead->name, name, sizeof lead->name);
  lead->started_ms = now_ms;
  lead->store_away_ms = now_ms;
  /* The record is read at once: a leader that has been restarted takes its place again. */
  lead->read_next_ms = now_ms + g_str_hash (name) % VP_LEAD_SPREAD_MS
                       + VP_LEAD_START_MS * 1000 / MAX (cpu_milli, VP_LEAD_START_MILLI_MIN);
}

static void
_vp_lead_follow (VpLead *lead, uint64_t term, const char *leader)
{
  lead->state = VP_LEAD_FOLLOWING;
  lead->claimable_since_ms = 0;
  lead->term = term;
  lead->is_invited = false;
  g_strlcpy (lead->leader, leader, sizeof lead->leader);
}

void
vp_lead_heard (VpLead *lead, const char *name, uint64_t term, int64_t store_age_ms, int64_t now_ms)
{
  if (term < lead->term || (term == lead->term && lead->state == VP_LEAD_LEADING))
    return;
  if (term > lead->term || strcmp (lead->leader, name) != 0)
    _vp_lead_follow (lead, term, name);
  lead->heard_ms = now_ms;
  lead->store_age_ms = store_age_ms;
  if (store_age_ms > 0)
    lead->store_away_ms = now_ms;
  if (store_age_ms < VP_LEAD_STORE_AGE_MS)
    lead->has_record = false;
}

void
vp_lead_learn_term (VpLead *lead, uint64_t term)
{
  if (lead->state == VP_LEAD_LEADING && term > lead->term)
    _vp_lead_follow (lead, term, "");
}

void
vp_lead_invite (VpLead *lead, uint64_t term, int64_t now_ms)
{
  if (term < lead->term || lead->state != VP_LEAD_FOLLOWING)
    return;
  lead->is_invited = true;
  lead->read_next_ms = now_ms;
}

static int64_t
_vp_lead_silent_ms (const VpLead *lead, int64_t now_ms)
{
  return now_ms - MAX (lead->heard_ms, lead->started_ms);
}

static bool
_vp_lead_is_suspect (const VpLead *lead, int64_t now_ms)
{
  return _vp_lead_silent_ms (lead, now_ms) > VP_LEAD_LISTEN_MS
         || lead->store_age_ms > VP_LEAD_STORE_AGE_MS || lead->is_invited
         || lead->leader[0] == '\0';
}

/* Most processes in reach don't hear the leader, and this one reaches at least half of them all. */
static bool
_vp_lead_is_outvoted (const VpLeadView *view)
{
  return view->heard_count > 0 && 2 * (view->heard_count + 1) >= view->member_count + 1
         && 2 * view->deaf_count > view->heard_count;
}

static bool
_vp_lead_may_claim (const VpLead *lead, const VpLeadView *view, int64_t now_ms)
{
  if (!lead->has_record)
    return false;
  if (lead->record.term == 0 || lead->record.is_clean || lead->is_invited
      || strcmp (lead->record.leader, lead->name) == 0)
    return true;
  if (lead->leader[0] != '\0' && lead->store_age_ms <= VP_LEAD_STORE_AGE_MS
      && _vp_lead_silent_ms (lead, now_ms) <= VP_LEAD_SILENT_MS)
    return false;
  /* A leader that tells of its failing writes needs no watching: the claim is conditional. */
  return lead->store_age_ms > VP_LEAD_STORE_AGE_MS
         || now_ms - lead->still_since_ms >= VP_LEAD_STILL_MS || _vp_lead_is_outvoted (view);
}

/* A stronger VM in reach may claim first. */
static bool
_vp_lead_is_yielding (const VpLead *lead, const VpLeadView *view, int64_t now_ms)
{
  return view->strongest_milli > lead->cpu_milli && !lead->is_invited
         && now_ms - lead->claimable_since_ms < VP_LEAD_WEAK_WAIT_MS;
}

VpLeadAction
vp_lead_tick (VpLead *lead, const VpLeadView *view, int64_t now_ms)
{
  if (lead->state != VP_LEAD_FOLLOWING || lead->is_reading || now_ms < lead->read_next_ms)
    return VP_LEAD_NOTHING;
  if (!_vp_lead_is_suspect (lead, now_ms)) {
    lead->has_record = false;
    lead->claimable_since_ms = 0;
    return VP_LEAD_NOTHING;
  }
  if (!_vp_lead_may_claim (lead, view, now_ms))
    lead->claimable_since_ms = 0;
  else if (lead->claimable_since_ms == 0)
    lead->claimable_since_ms = now_ms;
  if (lead->claimable_since_ms != 0 && !_vp_lead_is_yielding (lead, view, now_ms)) {
    lead->state = VP_LEAD_CLAIMING;
    lead->is_after_clean = lead->record.is_clean || lead->record.term == 0;
    lead->claimed_ms = now_ms;
    memset (&lead->claim, 0, sizeof lead->claim);
    lead->claim.term = MAX (lead->record.term, lead->term) + 1;
    g_strlcpy (lead->claim.leader, lead->name, sizeof lead->claim.leader);
    return VP_LEAD_CLAIM;
  }
  lead->is_reading = true;
  return VP_LEAD_READ;
}

static void
_vp_lead_confirm (VpLead *lead, uint64_t revision, int64_t now_ms)
{
  lead->state = VP_LEAD_LEADING;
  lead->term = lead->claim.term;
  lead->record = lead->claim;
  lead->record_revision = revision;
  lead->heard_ms = now_ms;
  lead->store_age_ms = 0;
  lead->is_invited = lead->has_record = false;
  g_strlcpy (lead->leader, lead->name, sizeof lead->leader);
}

void
vp_lead_read (VpLead *lead,
              bool is_ok,
              uint64_t revision,
              const VpLeadRecord *record,
              int64_t now_ms)
{
  lead->is_reading = false;
  lead->read_next_ms = now_ms + VP_LEAD_READ_MS;
  if (!is_ok)
    lead->store_away_ms = now_ms;
  if (!is_ok || lead->state == VP_LEAD_LEADING)
    return;
  /* A claim whose answer was lost has been carried out. */
  if (record != NULL && lead->claim.term != 0 && record->term == lead->claim.term
      && strcmp (record->leader, lead->name) == 0 && record->commit == 0) {
    _vp_lead_confirm (lead, revision, now_ms);
    return;
  }
  if (!lead->has_record || lead->record_revision != revision)
    lead->still_since_ms = now_ms;
  lead->has_record = true;
  lead->record_revision = revision;
  if (record != NULL)
    lead->record = *record;
  else
    memset (&lead->record, 0, sizeof lead->record);
  if (lead->record.term > lead->term)
    _vp_lead_follow (lead, lead->record.term, lead->record.leader);
  /* Claims at once if the record allows it; the next tick decides. */
  if (lead->record.term == 0 || lead->record.is_clean || lead->is_invited
      || strcmp (lead->record.leader, lead->name) == 0)
    lead->read_next_ms = now_ms;
}

void
vp_lead_claimed (VpLead *lead, bool is_ok, uint64_t revision, int64_t now_ms)
{
  if (lead->state != VP_LEAD_CLAIMING)
    return;
  if (is_ok) {
    _vp_lead_confirm (lead, revision, now_ms);
    return;
  }
  lead->state = VP_LEAD_FOLLOWING;
  lead->has_record = false;
  lead->read_next_ms = now_ms + g_str_hash (lead->name) % VP_LEAD_SPREAD_MS;
}

void
vp_lead_step_down (VpLead *lead, int64_t now_ms)
{
  lead->state = VP_LEAD_FOLLOWING;
  lead->claimable_since_ms = 0;
  lead->leader[0] = '\0';
  lead->store_away_ms = now_ms;
  lead->has_record = lead->is_reading = false;
  lead->store_age_ms = 0;
  lead->claim.term = 0;
  lead->read_next_ms = now_ms + VP_LEAD_SILENT_MS;
}

bool
vp_lead_is_heard (const VpLead *lead, int64_t now_ms)
{
  return lead->state == VP_LEAD_LEADING
         || (lead->leader[0] != '\0' && now_ms - lead->heard_ms < VP_LEAD_SILENT_MS);
}

bool
vp_lead_is_known (const VpLead *lead, int64_t now_ms)
{
  return lead->state == VP_LEAD_LEADING
         || (lead->leader[0] != '\0' && now_ms - lead->heard_ms < VP_LEAD_KNOWN_MS);
}

int64_t
vp_lead_next_ms (const VpLead *lead, int64_t now_ms)
{
  if (lead->state != VP_LEAD_FOLLOWING || lead->is_reading)
    return INT64_MAX;
  if (_vp_lead_is_suspect (lead, now_ms))
    return lead->read_next_ms;
  return MAX (lead->read_next_ms, MAX (lead->heard_ms, lead->started_ms) + VP_LEAD_LISTEN_MS + 1);
}

GVariant *
vp_lead_record_encode (const VpLeadRecord *record)
{
  return g_variant_new (VP_LEAD_RECORD_TYPE, record->term, record->leader, record->commit,
                        (gboolean)record->is_clean);
}

bool
vp_lead_record_decode (GVariant *value, VpLeadRecord *out)
{
  const char *leader;
  gboolean is_clean;

  memset (out, 0, sizeof *out);
  if (!g_variant_is_of_type (value, G_VARIANT_TYPE (VP_LEAD_RECORD_TYPE)))
    return false;
  g_variant_get (value, "(t&stb)", &out->term, &leader, &out->commit, &is_clean);
  out->is_clean = is_clean;
  return vp_name_copy (out->leader, sizeof out->leader, leader);
}
