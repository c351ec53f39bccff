#include "vp-fit.h"

#include <math.h>
#include <string.h>

/* Trees are kept for 0 to VP_FIT_LEVELS - 2 free accelerators; the last one holds all above. */
#define VP_FIT_LEVELS 64
/* Candidates looked at in each tree of a level. Packing does not improve measurably beyond 8. */
#define VP_FIT_CANDIDATES 8
/* Candidates looked at when racks are counted: a rack of 8 workers of each of 32 used racks. */
#define VP_FIT_SPREAD_CANDIDATES 256
/* Score added for a worker that is to be avoided; above any other difference in score. */
#define VP_FIT_AVOID_SCORE 100.0

enum { _VP_FIT_CPU, _VP_FIT_MEM, _VP_FIT_TREES };

typedef struct {
  uint32_t left;
  uint32_t right;
  int64_t max_other; /* maximum of the other dimension in the subtree */
} VpFitLink;

typedef struct {
  VpResources size;
  VpResources room;
  int64_t slot_count;
  int64_t slots; /* free */
  uint32_t rack;
  uint32_t priority; /* of the node in its trees */
  bool is_used;      /* the number belongs to a worker */
  bool is_open;
  bool is_indexed;
  VpFitLink links[_VP_FIT_TREES];
} VpFitNode;

struct _VpFit {
  GArray *nodes;   /* VpFitNode */
  GArray *unused;  /* uint32_t */
  uint64_t levels; /* bit set: the level's trees are not empty */
  uint32_t roots[VP_FIT_LEVELS][_VP_FIT_TREES];
  GArray *rack_uses; /* uint32_t by rack; all zero between calls */
};

typedef struct {
  const VpFit *fit;
  const VpResources *need;
  uint32_t tree;
  uint32_t max;
  uint32_t count;
  uint32_t found[VP_FIT_SPREAD_CANDIDATES];
} VpFitSearch;

static inline VpFitNode *
_vp_fit_node (const VpFit *fit, uint32_t worker)
{
  return &((VpFitNode *)(void *)fit->nodes->data)[worker];
}

static inline int64_t
_vp_fit_key (const VpResources *size, uint32_t tree)
{
  return tree == _VP_FIT_CPU ? size->cpu_milli : size->mem_mib;
}

static inline int64_t
_vp_fit_other (const VpResources *size, uint32_t tree)
{
  return tree == _VP_FIT_CPU ? size->mem_mib : size->cpu_milli;
}

/* Mixes a worker's number into a treap priority, so that the shape is the same in each run. */
static uint32_t
_vp_fit_priority (uint32_t worker)
{
  uint64_t mixed = (worker + 1) * UINT64_C (0x9e3779b97f4a7c15);

  mixed ^= mixed >> 29;
  mixed *= UINT64_C (0xbf58476d1ce4e5b9);
  return (uint32_t)(mixed >> 32);
}

static inline int64_t
_vp_fit_max_other (const VpFit *fit, uint32_t tree, uint32_t root)
{
  return root == VP_FIT_NONE ? INT64_MIN : _vp_fit_node (fit, root)->links[tree].max_other;
}

static void
_vp_fit_refresh (const VpFit *fit, uint32_t tree, uint32_t root)
{
  VpFitNode *node = _vp_fit_node (fit, root);
  VpFitLink *link = &node->links[tree];
  int64_t most = _vp_fit_other (&node->room, tree);

  most = MAX (most, _vp_fit_max_other (fit, tree, link->left));
  link->max_other = MAX (most, _vp_fit_max_other (fit, tree, link->right));
}

/* True if @a stands before @b: by room, then by number. */
static inline bool
_vp_fit_is_before (const VpFit *fit, uint32_t tree, uint32_t a, uint32_t b)
{
  int64_t key_a = _vp_fit_key (&_vp_fit_node (fit, a)->room, tree);
  int64_t key_b = _vp_fit_key (&_vp_fit_node (fit, b)->room, tree);

  return key_a < key_b || (key_a == key_b && a < b);
}

static uint32_t
_vp_fit_merge (const VpFit *fit, uint32_t tree, uint32_t a, uint32_t b)
{
  VpFitLink *link;
  uint32_t root;

  if (a == VP_FIT_NONE || b == VP_FIT_NONE)
    return a == VP_FIT_NONE ? b : a;
  if (_vp_fit_node (fit, a)->priority >= _vp_fit_node (fit, b)->priority) {
    root = a;
    link = &_vp_fit_node (fit, a)->links[tree];
    link->right = _vp_fit_merge (fit, tree, link->right, b);
  } else {
    root = b;
    link = &_vp_fit_node (fit, b)->links[tree];
    link->left = _vp_fit_merge (fit, tree, a, link->left);
  }
  _vp_fit_refresh (fit, tree, root);
  return root;
}

/* Splits a tree into what stands before @pivot and the rest. */
static void
_vp_fit_split (const VpFit *fit,
               uint32_t tree,
               uint32_t root,
               uint32_t pivot,
               uint32_t *before,
               uint32_t *after)
{
  VpFitLink *link;

  if (root == VP_FIT_NONE) {
    *before = *after = VP_FIT_NONE;
    return;
  }
  link = &_vp_fit_node (fit, root)->links[tree];
  if (_vp_fit_is_before (fit, tree, root, pivot)) {
    _vp_fit_split (fit, tree, link->right, pivot, &link->right, after);
    *before = root;
  } else {
    _vp_fit_split (fit, tree, link->left, pivot, before, &link->left);
    *after = root;
  }
  _vp_fit_refresh (fit, tree, root);
}

static uint32_t
_vp_fit_insert (const VpFit *fit, uint32_t tree, uint32_t root, uint32_t worker)
{
  VpFitNode *node = _vp_fit_node (fit, worker);
  VpFitLink *link;

  if (root == VP_FIT_NONE || node->priority > _vp_fit_node (fit, root)->priority) {
    _vp_fit_split (fit, tree, root, worker, &node->links[tree].left, &node->links[tree].right);
    _vp_fit_refresh (fit, tree, worker);
    return worker;
  }
  link = &_vp_fit_node (fit, root)->links[tree];
  if (_vp_fit_is_before (fit, tree, worker, root))
    link->left = _vp_fit_insert (fit, tree, link->left, worker);
  else
    link->right = _vp_fit_insert (fit, tree, link->right, worker);
  _vp_fit_refresh (fit, tree, root);
  return root;
}

static uint32_t
_vp_fit_erase (const VpFit *fit, uint32_t tree, uint32_t root, uint32_t worker)
{
  VpFitLink *link = &_vp_fit_node (fit, root)->links[tree];

  if (root == worker)
    return _vp_fit_merge (fit, tree, link->left, link->right);
  if (_vp_fit_is_before (fit, tree, worker, root))
    link->left = _vp_fit_erase (fit, tree, link->left, worker);
  else
    link->right = _vp_fit_erase (fit, tree, link->right, worker);
  _vp_fit_refresh (fit, tree, root);
  return root;
}

static uint32_t
_vp_fit_level (int64_t accel_count)
{
  return (uint32_t)CLAMP (accel_count, 0, VP_FIT_LEVELS - 1);
}

static void
_vp_fit_unindex (VpFit *fit, uint32_t worker)
{
  VpFitNode *node = _vp_fit_node (fit, worker);
  uint32_t level = _vp_fit_level (node->room.accel_count);

  if (!node->is_indexed)
    return;
  for (uint32_t tree = 0; tree < _VP_FIT_TREES; tree++)
    fit->roots[level][tree] = _vp_fit_erase (fit, tree, fit->roots[level][tree], worker);
  if (fit->roots[level][_VP_FIT_CPU] == VP_FIT_NONE)
    fit->levels &= ~(UINT64_C (1) << level);
  node->is_indexed = false;
}

static void
_vp_fit_index (VpFit *fit, uint32_t worker)
{
  VpFitNode *node = _vp_fit_node (fit, worker);
  uint32_t level = _vp_fit_level (node->room.accel_count);

  if (!node->is_open || node->slots <= 0 || !vp_resources_is_valid (&node->room))
    return;
  for (uint32_t tree = 0; tree < _VP_FIT_TREES; tree++)
    fit->roots[level][tree] = _vp_fit_insert (fit, tree, fit->roots[level][tree], worker);
  fit->levels |= UINT64_C (1) << level;
  node->is_indexed = true;
}

VpFit *
vp_fit_new (void)
{
  VpFit *fit = g_new0 (VpFit, 1);

  fit->nodes = g_array_new (FALSE, TRUE, sizeof (VpFitNode));
  fit->unused = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  fit->rack_uses = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  memset (fit->roots, 0xff, sizeof fit->roots);
  return fit;
}

void
vp_fit_free (VpFit *fit)
{
  g_array_unref (fit->nodes);
  g_array_unref (fit->unused);
  g_array_unref (fit->rack_uses);
  g_free (fit);
}

uint32_t
vp_fit_add (VpFit *fit, const VpResources *size, uint32_t slot_count, uint32_t rack)
{
  uint32_t worker = fit->nodes->len;
  VpFitNode *node;

  if (fit->unused->len > 0) {
    worker = g_array_index (fit->unused, uint32_t, fit->unused->len - 1);
    g_array_set_size (fit->unused, fit->unused->len - 1);
  } else {
    g_array_set_size (fit->nodes, worker + 1);
  }
  node = _vp_fit_node (fit, worker);
  *node = (VpFitNode){
    .size = *size,
    .room = *size,
    .slot_count = slot_count,
    .slots = slot_count,
    .rack = rack,
    .priority = _vp_fit_priority (worker),
    .is_used = true,
  };
  if (rack >= fit->rack_uses->len)
    g_array_set_size (fit->rack_uses, rack + 1);
  return worker;
}

void
vp_fit_remove (VpFit *fit, uint32_t worker)
{
  _vp_fit_unindex (fit, worker);
  _vp_fit_node (fit, worker)->is_used = false;
  _vp_fit_node (fit, worker)->is_open = false;
  g_array_append_val (fit->unused, worker);
}

void
vp_fit_resize (VpFit *fit,
               uint32_t worker,
               const VpResources *size,
               uint32_t slot_count,
               uint32_t rack)
{
  VpFitNode *node = _vp_fit_node (fit, worker);

  _vp_fit_unindex (fit, worker);
  vp_resources_add (&node->room, size);
  vp_resources_sub (&node->room, &node->size);
  node->size = *size;
  node->slots += (int64_t)slot_count - node->slot_count;
  node->slot_count = slot_count;
  node->rack = rack;
  if (rack >= fit->rack_uses->len)
    g_array_set_size (fit->rack_uses, rack + 1);
  _vp_fit_index (fit, worker);
}

void
vp_fit_set_open (VpFit *fit, uint32_t worker, bool is_open)
{
  VpFitNode *node = _vp_fit_node (fit, worker);

  if (node->is_open == is_open)
    return;
  _vp_fit_unindex (fit, worker);
  node->is_open = is_open;
  _vp_fit_index (fit, worker);
}

bool
vp_fit_is_open (const VpFit *fit, uint32_t worker)
{
  return _vp_fit_node (fit, worker)->is_open;
}

void
vp_fit_take (VpFit *fit, uint32_t worker, const VpResources *need)
{
  VpFitNode *node = _vp_fit_node (fit, worker);

  _vp_fit_unindex (fit, worker);
  vp_resources_sub (&node->room, need);
  node->slots--;
  _vp_fit_index (fit, worker);
}

void
vp_fit_give (VpFit *fit, uint32_t worker, const VpResources *need)
{
  VpFitNode *node = _vp_fit_node (fit, worker);

  _vp_fit_unindex (fit, worker);
  vp_resources_add (&node->room, need);
  node->slots++;
  _vp_fit_index (fit, worker);
}

VpResources
vp_fit_room (const VpFit *fit, uint32_t worker)
{
  return _vp_fit_node (fit, worker)->room;
}

int64_t
vp_fit_slots (const VpFit *fit, uint32_t worker)
{
  return _vp_fit_node (fit, worker)->slots;
}

bool
vp_fit_has_room (const VpFit *fit, uint32_t worker, const VpResources *need)
{
  const VpFitNode *node = _vp_fit_node (fit, worker);

  return node->slots > 0 && vp_resources_fits (need, &node->room);
}

/* In-order walk from the smallest sufficient key, skipping subtrees without enough of the other
 * dimension, until enough candidates were found. */
static void
_vp_fit_collect (VpFitSearch *search, uint32_t root)
{
  while (root != VP_FIT_NONE && search->count < search->max) {
    const VpFitNode *node = _vp_fit_node (search->fit, root);
    const VpFitLink *link = &node->links[search->tree];

    if (link->max_other < _vp_fit_other (search->need, search->tree))
      return;
    if (_vp_fit_key (&node->room, search->tree) >= _vp_fit_key (search->need, search->tree)) {
      _vp_fit_collect (search, link->left);
      if (search->count < search->max && vp_resources_fits (search->need, &node->room))
        search->found[search->count++] = root;
    }
    root = link->right;
  }
}

static double
_vp_fit_left (int64_t room, int64_t need, int64_t size)
{
  return size > 0 ? (double)(room - need) / (double)size : 0.0;
}

/* Lower is better: what is left in all dimensions, and how unevenly it is left, since a rest of
 * one dimension without the others can't be used. */
static double
_vp_fit_score (const VpFitNode *node, const VpFitQuery *query, uint32_t worker)
{
  double cpu = _vp_fit_left (node->room.cpu_milli, query->need.cpu_milli, node->size.cpu_milli);
  double mem = _vp_fit_left (node->room.mem_mib, query->need.mem_mib, node->size.mem_mib);
  double slots = _vp_fit_left (node->slots, 1, node->slot_count);
  double score = cpu + mem + slots + 2.0 * fabs (cpu - mem);

  for (uint32_t i = 0; i < query->avoid_count; i++) {
    if (query->avoid[i] == worker)
      return score + VP_FIT_AVOID_SCORE;
  }
  return score;
}

static uint32_t
_vp_fit_best (const VpFit *fit, const VpFitQuery *query, const VpFitSearch *search, double *score)
{
  const uint32_t *uses = (const uint32_t *)(const void *)fit->rack_uses->data;
  uint32_t best = VP_FIT_NONE;

  for (uint32_t i = 0; i < search->count; i++) {
    const VpFitNode *node = _vp_fit_node (fit, search->found[i]);
    double next = _vp_fit_score (node, query, search->found[i]);

    if (query->is_spread)
      next += 2 * VP_FIT_AVOID_SCORE * uses[node->rack];
    if (next < *score) {
      *score = next;
      best = search->found[i];
    }
  }
  return best;
}

static uint32_t
_vp_fit_pick_level (const VpFit *fit, const VpFitQuery *query, uint32_t level)
{
  VpFitSearch search = { .fit = fit, .need = &query->need };
  uint32_t best = VP_FIT_NONE;
  double score = INFINITY;

  search.max = query->is_spread ? VP_FIT_SPREAD_CANDIDATES : VP_FIT_CANDIDATES;
  for (uint32_t tree = 0; tree < _VP_FIT_TREES; tree++) {
    uint32_t found;

    search.tree = tree;
    search.count = 0;
    _vp_fit_collect (&search, fit->roots[level][tree]);
    found = _vp_fit_best (fit, query, &search, &score);
    if (found != VP_FIT_NONE)
      best = found;
    /* Fewer candidates than asked for are all there are, so the other tree has no more. */
    if (search.count < search.max)
      break;
  }
  return best;
}

static uint32_t
_vp_fit_pick_first (const VpFit *fit, const VpFitQuery *query)
{
  for (uint32_t i = 0; i < fit->nodes->len; i++) {
    if (_vp_fit_node (fit, i)->is_indexed && vp_fit_has_room (fit, i, &query->need))
      return i;
  }
  return VP_FIT_NONE;
}

uint32_t
vp_fit_pick (VpFit *fit, const VpFitQuery *query)
{
  uint32_t *uses = (uint32_t *)(void *)fit->rack_uses->data;
  uint64_t levels = fit->levels & (UINT64_MAX << _vp_fit_level (query->need.accel_count));
  uint32_t picked = VP_FIT_NONE;

  if (query->is_first_fit)
    return _vp_fit_pick_first (fit, query);
  if (query->is_without_accels)
    levels &= 1;
  if (query->is_spread) {
    for (uint32_t i = 0; i < query->rack_count; i++)
      uses[query->racks[i]]++;
  }
  /* Levels in ascending order: work takes as few free accelerators out of reach as possible. */
  while (levels != 0 && picked == VP_FIT_NONE) {
    picked = _vp_fit_pick_level (fit, query, (uint32_t)__builtin_ctzll (levels));
    levels &= levels - 1;
  }
  if (query->is_spread) {
    for (uint32_t i = 0; i < query->rack_count; i++)
      uses[query->racks[i]] = 0;
  }
  return picked;
}

static bool
_vp_fit_check_tree (const VpFit *fit, uint32_t tree, uint32_t root, uint32_t *last, uint32_t *count)
{
  const VpFitNode *node;
  int64_t most;

  if (root == VP_FIT_NONE)
    return true;
  node = _vp_fit_node (fit, root);
  if (!_vp_fit_check_tree (fit, tree, node->links[tree].left, last, count))
    return false;
  if (*last != VP_FIT_NONE && !_vp_fit_is_before (fit, tree, *last, root))
    return false;
  *last = root;
  *count += 1;
  if (!_vp_fit_check_tree (fit, tree, node->links[tree].right, last, count))
    return false;
  most = _vp_fit_other (&node->room, tree);
  most = MAX (most, _vp_fit_max_other (fit, tree, node->links[tree].left));
  most = MAX (most, _vp_fit_max_other (fit, tree, node->links[tree].right));
  return node->is_indexed && node->links[tree].max_other == most;
}

bool
vp_fit_check (const VpFit *fit)
{
  uint32_t indexed = 0;
  uint32_t counts[_VP_FIT_TREES] = { 0 };

  for (uint32_t i = 0; i < fit->nodes->len; i++) {
    const VpFitNode *node = _vp_fit_node (fit, i);
    bool is_due = node->is_open && node->slots > 0 && vp_resources_is_valid (&node->room);

    if (node->is_indexed != is_due)
      return false;
    indexed += node->is_indexed;
  }
  for (uint32_t level = 0; level < VP_FIT_LEVELS; level++) {
    for (uint32_t tree = 0; tree < _VP_FIT_TREES; tree++) {
      uint32_t last = VP_FIT_NONE;

      if (!_vp_fit_check_tree (fit, tree, fit->roots[level][tree], &last, &counts[tree]))
        return false;
    }
  }
  return counts[_VP_FIT_CPU] == indexed && counts[_VP_FIT_MEM] == indexed;
}
