// A tenth of the servers (one of nine) turns grey: four times slower, and says that it is nearly idle.
name: "grey-liars"
about: "a tenth of the servers is four times slower and claims a fifth of its load"
length: 20s
troubles: [{at: 3s, kind: "false_reports", for: 14s, part: 0.1, size: 0.2, extra: 3}]
expect: service: 0.96
