/* Limits on the input of an HTTP server from clients outside the operators' control: bytes,
 * connections and times. Decides without a network; the caller closes connections and frees bodies.
 *
 *   vp_http_limits_complete (&limits, memory_bytes, descriptors_max, percent);
 *   vp_http_budget_setup (&budget, &limits);
 *   vp_http_budget_open (&budget, entry, address, now_ms);       // a connection was accepted
 *   vp_http_budget_begin (&budget, entry, now_ms);               // request line
 *   vp_http_budget_begin_body (&budget, entry, size, true, now_ms);
 *   while (vp_http_budget_charge (...) == VP_HTTP_CHARGE_CLOSE)  // before memory is allocated
 *     ... close the victim ...
 *   vp_http_budget_wait (&budget, entry);                        // request complete, body released
 *   vp_http_budget_send (&budget, entry, now_ms);                // answer ready
 *   vp_http_budget_idle (&budget, entry, now_ms);                // answer written
 *   vp_http_budget_remove (&budget, entry);                      // connection closed
 *
 * Each connection has an entry, which is in the queue of its phase. Queues are ordered by the time
 * of the last progress, so that each call takes constant time, also at the limits. Not thread-safe.
 */
#pragma once

#include "vp-types.h"

/* 0 in a field is the default. */
typedef struct {
  uint64_t bytes_max; /* memory of all bodies that are being received */
  /* Requests up to this size may use the part of @bytes_max that is reserved for them. */
  uint64_t small_bytes;
  uint32_t connections_max;
  uint32_t per_address_max;         /* connections of one client address; 0: no limit */
  uint64_t receive_bytes_per_s_min; /* rate below which a client is slow */
  int64_t receive_timeout_ms;       /* from the request line to the end of the body */
  int64_t send_timeout_ms;          /* from the answer until the client has read it */
  int64_t idle_timeout_ms; /* from the connection, or an answer, to the next request line */
} VpHttpLimits;

typedef enum {
  VP_HTTP_PHASE_NONE, /* not open */
  VP_HTTP_PHASE_IDLE,
  VP_HTTP_PHASE_HEADERS,
  VP_HTTP_PHASE_SMALL,   /* receives a body of at most VpHttpLimits.small_bytes */
  VP_HTTP_PHASE_LARGE,   /* receives any other body */
  VP_HTTP_PHASE_DISCARD, /* receives a body that is not kept */
  VP_HTTP_PHASE_WAITING, /* for the answer */
  VP_HTTP_PHASE_SENDING, /* the answer */
  VP_HTTP_PHASE_CLOSING,
  VP_HTTP_PHASE_COUNT,
} VpHttpPhase;

/* Causes of refusals and closed connections. */
typedef enum {
  VP_HTTP_CAUSE_NONE,
  VP_HTTP_CAUSE_LENGTH,      /* body over the limit, or where none is accepted */
  VP_HTTP_CAUSE_UNWANTED,    /* body of a request without a route, of another method or bad key */
  VP_HTTP_CAUSE_BYTES,       /* no memory left in the budget */
  VP_HTTP_CAUSE_CONNECTIONS, /* the limit of connections */
  VP_HTTP_CAUSE_ADDRESS,     /* the limit of connections of one address */
  VP_HTTP_CAUSE_IDLE,        /* time without a request */
  VP_HTTP_CAUSE_RECEIVE,     /* the request arrives too slowly */
  VP_HTTP_CAUSE_SEND,        /* the answer is read too slowly */
  VP_HTTP_CAUSE_COUNT,
} VpHttpCause;

/* A connection. To be zeroed before vp_http_budget_open(). */
typedef struct {
  GList link;
  GList request_link; /* in VpHttpBudget.requests, while a request is received */
  VpHttpPhase phase;
  bool is_requesting;
  uint64_t address;
  int64_t began_ms;    /* begin of the request, or of the phase between requests */
  int64_t progress_ms; /* when the phase began or the last progress was made */
  uint64_t received_bytes;
  uint64_t progress_bytes; /* @received_bytes at @progress_ms */
  uint64_t charged_bytes;
} VpHttpBudgetEntry;

typedef struct {
  VpHttpLimits limits;
  GQueue phases[VP_HTTP_PHASE_COUNT]; /* VpHttpBudgetEntry, in the order of progress_ms */
  GQueue requests;                    /* VpHttpBudgetEntry, in the order of began_ms */
  GHashTable *addresses;              /* address -> number of connections; NULL: not limited */
  uint32_t connection_count;          /* without those that are closing */
  uint64_t charged_bytes;
  uint64_t large_bytes; /* part of @charged_bytes of large bodies */
  uint64_t refused[VP_HTTP_CAUSE_COUNT];
  uint64_t closed[VP_HTTP_CAUSE_COUNT];
  uint64_t reported[2][VP_HTTP_CAUSE_COUNT]; /* values in the last report */
  int64_t report_next_ms;
  uint64_t peak_bytes; /* largest amount of memory held since the last trim */
  int64_t trim_next_ms;
} VpHttpBudget;

/* Fills in the defaults for a server of a process with @memory_bytes and @descriptors_max; 0:
 * unknown. @percent of the descriptors are for the connections of this server. */
void vp_http_limits_complete (VpHttpLimits *limits,
                              uint64_t memory_bytes,
                              uint64_t descriptors_max,
                              uint32_t percent);

void vp_http_budget_setup (VpHttpBudget *budget, const VpHttpLimits *limits);
void vp_http_budget_clear (VpHttpBudget *budget);

/* Returns true if another connection may be accepted. Otherwise sets @victim to the connection that
 * is to be closed for it by vp_http_budget_close(), or to NULL if the new one has to wait. */
bool vp_http_budget_has_room (VpHttpBudget *budget, int64_t now_ms, VpHttpBudgetEntry **victim);
/* Returns false if the client's address has too many connections; the entry isn't open then.
 * @address is any number that tells addresses apart. */
bool vp_http_budget_open (VpHttpBudget *budget,
                          VpHttpBudgetEntry *entry,
                          uint64_t address,
                          int64_t now_ms);
void vp_http_budget_begin (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms);
/* @size is the length that the client states; UINT64_MAX: unknown. */
void vp_http_budget_begin_body (VpHttpBudget *budget,
                                VpHttpBudgetEntry *entry,
                                uint64_t size,
                                bool is_kept,
                                int64_t now_ms);
/* Records that @size bytes of the body have arrived. */
void vp_http_budget_receive (VpHttpBudget *budget,
                             VpHttpBudgetEntry *entry,
                             uint64_t size,
                             int64_t now_ms);

typedef enum {
  VP_HTTP_CHARGE_GRANTED,
  VP_HTTP_CHARGE_CLOSE,   /* close the victim by vp_http_budget_close() and ask again */
  VP_HTTP_CHARGE_REFUSED, /* refuse the request by vp_http_budget_refuse() */
} VpHttpCharge;

/* Asks for @bytes of memory for the body of @entry. */
VpHttpCharge vp_http_budget_charge (VpHttpBudget *budget,
                                    VpHttpBudgetEntry *entry,
                                    uint64_t bytes,
                                    int64_t now_ms,
                                    VpHttpBudgetEntry **victim);
/* Records that the request is refused. Its memory is given back, and the rest of its body is
 * discarded. */
void vp_http_budget_refuse (VpHttpBudget *budget,
                            VpHttpBudgetEntry *entry,
                            VpHttpCause cause,
                            int64_t now_ms);
void vp_http_budget_wait (VpHttpBudget *budget, VpHttpBudgetEntry *entry);
void vp_http_budget_send (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms);
void vp_http_budget_idle (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms);
/* Records that a victim has sent bytes that were not read yet, so that it isn't the slowest. */
void vp_http_budget_touch (VpHttpBudget *budget, VpHttpBudgetEntry *entry, int64_t now_ms);
/* Records that the connection is being closed. Its memory is given back. */
void vp_http_budget_close (VpHttpBudget *budget, VpHttpBudgetEntry *entry, VpHttpCause cause);
void vp_http_budget_remove (VpHttpBudget *budget, VpHttpBudgetEntry *entry);

/* Returns a connection whose time is over, which is to be closed for @cause; NULL: none. */
VpHttpBudgetEntry *
vp_http_budget_expired (VpHttpBudget *budget, int64_t now_ms, VpHttpCause *cause);
/* Time of the next expiry; INT64_MAX: none. */
int64_t vp_http_budget_next_ms (const VpHttpBudget *budget);
/* Writes the refusals and closed connections since the last report to @out, as key=value pairs.
 * Returns false if there are none, or if the last report was a short time ago. */
bool vp_http_budget_report (VpHttpBudget *budget, int64_t now_ms, char *out, size_t size);
/* Returns true if so much memory was freed that it is worth giving it back to the system. */
bool vp_http_budget_is_trim_due (VpHttpBudget *budget, int64_t now_ms);
