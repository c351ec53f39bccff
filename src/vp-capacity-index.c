#include "vp-capacity-index.h"

#include <math.h>
#include <string.h>

/* Number of tree pairs: one for each number of free accelerators; the last one also holds all
 * workers with more. */
#define ACCEL_LEVELS 64
/* Candidates scored in each tree of a level. More than 8 did not improve packing measurably. */
#define CANDIDATES_MAX 8
/* Candidates scored for a spread job: enough to look past 32 used racks of 8 workers each. */
#define SPREAD_CANDIDATES_MAX 256
/* Score added for a worker to avoid; larger than any other difference in score. */
#define AVOIDED_WORKER_PENALTY 100.0

enum { TREE_BY_CPU, TREE_BY_MEM, TREE_COUNT };

typedef struct {
  uint32_t left;
  uint32_t right;
  int64_t max_other; /* maximum of the other dimension in this subtree */
} VpCapacityLink;

typedef struct {
  VpResources capacity;
  VpResources free_resources;
  int64_t slot_count;
  int64_t free_slots;
  uint32_t rack;
  uint32_t priority; /* treap priority in both trees */
  bool is_used;      /* the ID belongs to a worker */
  bool is_open;
  bool is_indexed;
  VpCapacityLink links[TREE_COUNT];
} VpCapacityNode;

struct _VpCapacityIndex {
  GArray *nodes;            /* VpCapacityNode */
  GArray *free_ids;         /* uint32_t, IDs of removed workers */
  uint64_t nonempty_levels; /* bit set of levels */
  uint32_t roots[ACCEL_LEVELS][TREE_COUNT];
  GArray *rack_use_counts; /* uint32_t by rack; scratch space, all zero between calls */
};

typedef struct {
  const VpCapacityIndex *index;
  const VpResources *need;
  uint32_t tree;
  uint32_t max;
  uint32_t count;
  uint32_t found[SPREAD_CANDIDATES_MAX];
} VpCapacitySearch;

static inline VpCapacityNode *
_vp_capacity_index_node (const VpCapacityIndex *index, uint32_t worker)
{
  return &((VpCapacityNode *)(void *)index->nodes->data)[worker];
}

static inline int64_t
_vp_capacity_index_key (const VpResources *resources, uint32_t tree)
{
  return tree == TREE_BY_CPU ? resources->cpu_milli : resources->mem_mib;
}

static inline int64_t
_vp_capacity_index_other_key (const VpResources *resources, uint32_t tree)
{
  return tree == TREE_BY_CPU ? resources->mem_mib : resources->cpu_milli;
}

/* Derives the treap priority from the worker's ID, so that the trees are the same in each run. */
static uint32_t
_vp_capacity_index_priority (uint32_t worker)
{
  uint64_t mixed = (worker + 1) * UINT64_C (0x9e3779b97f4a7c15);

  mixed ^= mixed >> 29;
  mixed *= UINT64_C (0xbf58476d1ce4e5b9);
  return (uint32_t)(mixed >> 32);
}

static inline int64_t
_vp_capacity_index_max_other_key (const VpCapacityIndex *index, uint32_t tree, uint32_t root)
{
  return root == VP_CAPACITY_INDEX_NONE
             ? INT64_MIN
             : _vp_capacity_index_node (index, root)->links[tree].max_other;
}

static void
_vp_capacity_index_refresh (const VpCapacityIndex *index, uint32_t tree, uint32_t root)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, root);
  VpCapacityLink *link = &node->links[tree];
  int64_t max = _vp_capacity_index_other_key (&node->free_resources, tree);

  max = MAX (max, _vp_capacity_index_max_other_key (index, tree, link->left));
  link->max_other = MAX (max, _vp_capacity_index_max_other_key (index, tree, link->right));
}

/* True if @a is ordered before @b: by free resources, then by ID. */
static inline bool
_vp_capacity_index_is_before (const VpCapacityIndex *index, uint32_t tree, uint32_t a, uint32_t b)
{
  int64_t key_a
      = _vp_capacity_index_key (&_vp_capacity_index_node (index, a)->free_resources, tree);
  int64_t key_b
      = _vp_capacity_index_key (&_vp_capacity_index_node (index, b)->free_resources, tree);

  return key_a < key_b || (key_a == key_b && a < b);
}

static uint32_t
_vp_capacity_index_merge (const VpCapacityIndex *index, uint32_t tree, uint32_t a, uint32_t b)
{
  VpCapacityLink *link;
  uint32_t root;

  if (a == VP_CAPACITY_INDEX_NONE || b == VP_CAPACITY_INDEX_NONE)
    return a == VP_CAPACITY_INDEX_NONE ? b : a;
  if (_vp_capacity_index_node (index, a)->priority
      >= _vp_capacity_index_node (index, b)->priority) {
    root = a;
    link = &_vp_capacity_index_node (index, a)->links[tree];
    link->right = _vp_capacity_index_merge (index, tree, link->right, b);
  } else {
    root = b;
    link = &_vp_capacity_index_node (index, b)->links[tree];
    link->left = _vp_capacity_index_merge (index, tree, a, link->left);
  }
  _vp_capacity_index_refresh (index, tree, root);
  return root;
}

/* Splits a tree into the workers ordered before @pivot and the others. */
static void
_vp_capacity_index_split (const VpCapacityIndex *index,
                          uint32_t tree,
                          uint32_t root,
                          uint32_t pivot,
                          uint32_t *before,
                          uint32_t *after)
{
  VpCapacityLink *link;

  if (root == VP_CAPACITY_INDEX_NONE) {
    *before = *after = VP_CAPACITY_INDEX_NONE;
    return;
  }
  link = &_vp_capacity_index_node (index, root)->links[tree];
  if (_vp_capacity_index_is_before (index, tree, root, pivot)) {
    _vp_capacity_index_split (index, tree, link->right, pivot, &link->right, after);
    *before = root;
  } else {
    _vp_capacity_index_split (index, tree, link->left, pivot, before, &link->left);
    *after = root;
  }
  _vp_capacity_index_refresh (index, tree, root);
}

static uint32_t
_vp_capacity_index_insert (const VpCapacityIndex *index,
                           uint32_t tree,
                           uint32_t root,
                           uint32_t worker)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);
  VpCapacityLink *link;

  if (root == VP_CAPACITY_INDEX_NONE
      || node->priority > _vp_capacity_index_node (index, root)->priority) {
    _vp_capacity_index_split (index, tree, root, worker, &node->links[tree].left,
                              &node->links[tree].right);
    _vp_capacity_index_refresh (index, tree, worker);
    return worker;
  }
  link = &_vp_capacity_index_node (index, root)->links[tree];
  if (_vp_capacity_index_is_before (index, tree, worker, root))
    link->left = _vp_capacity_index_insert (index, tree, link->left, worker);
  else
    link->right = _vp_capacity_index_insert (index, tree, link->right, worker);
  _vp_capacity_index_refresh (index, tree, root);
  return root;
}

static uint32_t
_vp_capacity_index_erase (const VpCapacityIndex *index,
                          uint32_t tree,
                          uint32_t root,
                          uint32_t worker)
{
  VpCapacityLink *link = &_vp_capacity_index_node (index, root)->links[tree];

  if (root == worker)
    return _vp_capacity_index_merge (index, tree, link->left, link->right);
  if (_vp_capacity_index_is_before (index, tree, worker, root))
    link->left = _vp_capacity_index_erase (index, tree, link->left, worker);
  else
    link->right = _vp_capacity_index_erase (index, tree, link->right, worker);
  _vp_capacity_index_refresh (index, tree, root);
  return root;
}

static uint32_t
_vp_capacity_index_level (int64_t accel_count)
{
  return (uint32_t)CLAMP (accel_count, 0, ACCEL_LEVELS - 1);
}

static void
_vp_capacity_index_remove_worker (VpCapacityIndex *index, uint32_t worker)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);
  uint32_t level = _vp_capacity_index_level (node->free_resources.accel_count);

  if (!node->is_indexed)
    return;
  for (uint32_t tree = 0; tree < TREE_COUNT; tree++)
    index->roots[level][tree]
        = _vp_capacity_index_erase (index, tree, index->roots[level][tree], worker);
  if (index->roots[level][TREE_BY_CPU] == VP_CAPACITY_INDEX_NONE)
    index->nonempty_levels &= ~(UINT64_C (1) << level);
  node->is_indexed = false;
}

static void
_vp_capacity_index_insert_worker (VpCapacityIndex *index, uint32_t worker)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);
  uint32_t level = _vp_capacity_index_level (node->free_resources.accel_count);

  if (!node->is_open || node->free_slots <= 0 || !vp_resources_is_valid (&node->free_resources))
    return;
  for (uint32_t tree = 0; tree < TREE_COUNT; tree++)
    index->roots[level][tree]
        = _vp_capacity_index_insert (index, tree, index->roots[level][tree], worker);
  index->nonempty_levels |= UINT64_C (1) << level;
  node->is_indexed = true;
}

VpCapacityIndex *
vp_capacity_index_new (void)
{
  VpCapacityIndex *index = g_new0 (VpCapacityIndex, 1);

  index->nodes = g_array_new (FALSE, TRUE, sizeof (VpCapacityNode));
  index->free_ids = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  index->rack_use_counts = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  memset (index->roots, 0xff, sizeof index->roots);
  return index;
}

void
vp_capacity_index_free (VpCapacityIndex *index)
{
  g_array_unref (index->nodes);
  g_array_unref (index->free_ids);
  g_array_unref (index->rack_use_counts);
  g_free (index);
}

uint32_t
vp_capacity_index_add (VpCapacityIndex *index,
                       const VpResources *capacity,
                       uint32_t slot_count,
                       uint32_t rack)
{
  uint32_t worker = index->nodes->len;
  VpCapacityNode *node;

  if (index->free_ids->len > 0) {
    worker = g_array_index (index->free_ids, uint32_t, index->free_ids->len - 1);
    g_array_set_size (index->free_ids, index->free_ids->len - 1);
  } else {
    g_array_set_size (index->nodes, worker + 1);
  }
  node = _vp_capacity_index_node (index, worker);
  *node = (VpCapacityNode){
    .capacity = *capacity,
    .free_resources = *capacity,
    .slot_count = slot_count,
    .free_slots = slot_count,
    .rack = rack,
    .priority = _vp_capacity_index_priority (worker),
    .is_used = true,
  };
  if (rack >= index->rack_use_counts->len)
    g_array_set_size (index->rack_use_counts, rack + 1);
  return worker;
}

void
vp_capacity_index_remove (VpCapacityIndex *index, uint32_t worker)
{
  _vp_capacity_index_remove_worker (index, worker);
  _vp_capacity_index_node (index, worker)->is_used = false;
  _vp_capacity_index_node (index, worker)->is_open = false;
  g_array_append_val (index->free_ids, worker);
}

void
vp_capacity_index_resize (VpCapacityIndex *index,
                          uint32_t worker,
                          const VpResources *capacity,
                          uint32_t slot_count,
                          uint32_t rack)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);

  _vp_capacity_index_remove_worker (index, worker);
  vp_resources_add (&node->free_resources, capacity);
  vp_resources_sub (&node->free_resources, &node->capacity);
  node->capacity = *capacity;
  node->free_slots += (int64_t)slot_count - node->slot_count;
  node->slot_count = slot_count;
  node->rack = rack;
  if (rack >= index->rack_use_counts->len)
    g_array_set_size (index->rack_use_counts, rack + 1);
  _vp_capacity_index_insert_worker (index, worker);
}

void
vp_capacity_index_set_open (VpCapacityIndex *index, uint32_t worker, bool is_open)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);

  if (node->is_open == is_open)
    return;
  _vp_capacity_index_remove_worker (index, worker);
  node->is_open = is_open;
  _vp_capacity_index_insert_worker (index, worker);
}

bool
vp_capacity_index_is_open (const VpCapacityIndex *index, uint32_t worker)
{
  return _vp_capacity_index_node (index, worker)->is_open;
}

void
vp_capacity_index_allocate (VpCapacityIndex *index, uint32_t worker, const VpResources *need)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);

  _vp_capacity_index_remove_worker (index, worker);
  vp_resources_sub (&node->free_resources, need);
  node->free_slots--;
  _vp_capacity_index_insert_worker (index, worker);
}

void
vp_capacity_index_release (VpCapacityIndex *index, uint32_t worker, const VpResources *need)
{
  VpCapacityNode *node = _vp_capacity_index_node (index, worker);

  _vp_capacity_index_remove_worker (index, worker);
  vp_resources_add (&node->free_resources, need);
  node->free_slots++;
  _vp_capacity_index_insert_worker (index, worker);
}

VpResources
vp_capacity_index_free_resources (const VpCapacityIndex *index, uint32_t worker)
{
  return _vp_capacity_index_node (index, worker)->free_resources;
}

int64_t
vp_capacity_index_free_slots (const VpCapacityIndex *index, uint32_t worker)
{
  return _vp_capacity_index_node (index, worker)->free_slots;
}

bool
vp_capacity_index_fits (const VpCapacityIndex *index, uint32_t worker, const VpResources *need)
{
  const VpCapacityNode *node = _vp_capacity_index_node (index, worker);

  return node->free_slots > 0 && vp_resources_fits (need, &node->free_resources);
}

/* Collects candidates by an in-order walk from the smallest sufficient key. Skips subtrees without
 * enough of the other dimension. */
static void
_vp_capacity_index_collect (VpCapacitySearch *search, uint32_t root)
{
  while (root != VP_CAPACITY_INDEX_NONE && search->count < search->max) {
    const VpCapacityNode *node = _vp_capacity_index_node (search->index, root);
    const VpCapacityLink *link = &node->links[search->tree];

    if (link->max_other < _vp_capacity_index_other_key (search->need, search->tree))
      return;
    if (_vp_capacity_index_key (&node->free_resources, search->tree)
        >= _vp_capacity_index_key (search->need, search->tree)) {
      _vp_capacity_index_collect (search, link->left);
      if (search->count < search->max && vp_resources_fits (search->need, &node->free_resources))
        search->found[search->count++] = root;
    }
    root = link->right;
  }
}

/* Fraction of one dimension of the capacity that stays free; 0 if the worker has none of it. */
static double
_vp_capacity_index_leftover (int64_t free_amount, int64_t need, int64_t capacity)
{
  return capacity > 0 ? (double)(free_amount - need) / (double)capacity : 0.0;
}

/* Scores a worker; lower is better. The score is the sum of what is left in all dimensions, plus
 * how unevenly it is left: free processors without free memory, or the reverse, can't be used. */
static double
_vp_capacity_index_score (const VpCapacityNode *node, const VpCapacityQuery *query, uint32_t worker)
{
  double cpu = _vp_capacity_index_leftover (node->free_resources.cpu_milli, query->need.cpu_milli,
                                            node->capacity.cpu_milli);
  double mem = _vp_capacity_index_leftover (node->free_resources.mem_mib, query->need.mem_mib,
                                            node->capacity.mem_mib);
  double free_slots = _vp_capacity_index_leftover (node->free_slots, 1, node->slot_count);
  double score = cpu + mem + free_slots + 2.0 * fabs (cpu - mem);

  for (uint32_t i = 0; i < query->avoid_count; i++) {
    if (query->avoid[i] == worker)
      return score + AVOIDED_WORKER_PENALTY;
  }
  return score;
}

static uint32_t
_vp_capacity_index_best_candidate (const VpCapacityIndex *index,
                                   const VpCapacityQuery *query,
                                   const VpCapacitySearch *search,
                                   double *score)
{
  const uint32_t *use_counts = (const uint32_t *)(const void *)index->rack_use_counts->data;
  uint32_t best = VP_CAPACITY_INDEX_NONE;

  for (uint32_t i = 0; i < search->count; i++) {
    const VpCapacityNode *node = _vp_capacity_index_node (index, search->found[i]);
    double next = _vp_capacity_index_score (node, query, search->found[i]);

    if (query->is_spread)
      next += 2 * AVOIDED_WORKER_PENALTY * use_counts[node->rack];
    if (next < *score) {
      *score = next;
      best = search->found[i];
    }
  }
  return best;
}

static uint32_t
_vp_capacity_index_pick_level (const VpCapacityIndex *index,
                               const VpCapacityQuery *query,
                               uint32_t level)
{
  VpCapacitySearch search = { .index = index, .need = &query->need };
  uint32_t best = VP_CAPACITY_INDEX_NONE;
  double score = INFINITY;

  search.max = query->is_spread ? SPREAD_CANDIDATES_MAX : CANDIDATES_MAX;
  for (uint32_t tree = 0; tree < TREE_COUNT; tree++) {
    uint32_t found;

    search.tree = tree;
    search.count = 0;
    _vp_capacity_index_collect (&search, index->roots[level][tree]);
    found = _vp_capacity_index_best_candidate (index, query, &search, &score);
    if (found != VP_CAPACITY_INDEX_NONE)
      best = found;
    /* If this tree had fewer candidates than the maximum, the other tree has no further ones. */
    if (search.count < search.max)
      break;
  }
  return best;
}

static uint32_t
_vp_capacity_index_pick_first (const VpCapacityIndex *index, const VpCapacityQuery *query)
{
  for (uint32_t i = 0; i < index->nodes->len; i++) {
    if (_vp_capacity_index_node (index, i)->is_indexed
        && vp_capacity_index_fits (index, i, &query->need))
      return i;
  }
  return VP_CAPACITY_INDEX_NONE;
}

uint32_t
vp_capacity_index_pick (VpCapacityIndex *index, const VpCapacityQuery *query)
{
  uint32_t *use_counts = (uint32_t *)(void *)index->rack_use_counts->data;
  uint64_t levels
      = index->nonempty_levels & (UINT64_MAX << _vp_capacity_index_level (query->need.accel_count));
  uint32_t picked = VP_CAPACITY_INDEX_NONE;

  if (query->is_first_fit)
    return _vp_capacity_index_pick_first (index, query);
  if (query->is_without_accels)
    levels &= 1;
  if (query->is_spread) {
    for (uint32_t i = 0; i < query->rack_count; i++)
      use_counts[query->racks[i]]++;
  }
  /* Levels are tried in ascending order, so that jobs without accelerators use the workers with the
   * fewest free ones. */
  while (levels != 0 && picked == VP_CAPACITY_INDEX_NONE) {
    picked = _vp_capacity_index_pick_level (index, query, (uint32_t)__builtin_ctzll (levels));
    levels &= levels - 1;
  }
  if (query->is_spread) {
    for (uint32_t i = 0; i < query->rack_count; i++)
      use_counts[query->racks[i]] = 0;
  }
  return picked;
}

static bool
_vp_capacity_index_check_tree (const VpCapacityIndex *index,
                               uint32_t tree,
                               uint32_t root,
                               uint32_t *last,
                               uint32_t *count)
{
  const VpCapacityNode *node;
  int64_t max;

  if (root == VP_CAPACITY_INDEX_NONE)
    return true;
  node = _vp_capacity_index_node (index, root);
  if (!_vp_capacity_index_check_tree (index, tree, node->links[tree].left, last, count))
    return false;
  if (*last != VP_CAPACITY_INDEX_NONE && !_vp_capacity_index_is_before (index, tree, *last, root))
    return false;
  *last = root;
  *count += 1;
  if (!_vp_capacity_index_check_tree (index, tree, node->links[tree].right, last, count))
    return false;
  max = _vp_capacity_index_other_key (&node->free_resources, tree);
  max = MAX (max, _vp_capacity_index_max_other_key (index, tree, node->links[tree].left));
  max = MAX (max, _vp_capacity_index_max_other_key (index, tree, node->links[tree].right));
  return node->is_indexed && node->links[tree].max_other == max;
}

bool
vp_capacity_index_check (const VpCapacityIndex *index)
{
  uint32_t indexed = 0;
  uint32_t counts[TREE_COUNT] = { 0 };

  for (uint32_t i = 0; i < index->nodes->len; i++) {
    const VpCapacityNode *node = _vp_capacity_index_node (index, i);
    bool should_be_indexed
        = node->is_open && node->free_slots > 0 && vp_resources_is_valid (&node->free_resources);

    if (node->is_indexed != should_be_indexed)
      return false;
    indexed += node->is_indexed;
  }
  for (uint32_t level = 0; level < ACCEL_LEVELS; level++) {
    for (uint32_t tree = 0; tree < TREE_COUNT; tree++) {
      uint32_t last = VP_CAPACITY_INDEX_NONE;

      if (!_vp_capacity_index_check_tree (index, tree, index->roots[level][tree], &last,
                                          &counts[tree]))
        return false;
    }
  }
  return counts[TREE_BY_CPU] == indexed && counts[TREE_BY_MEM] == indexed;
}
