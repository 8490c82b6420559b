name: "config-storm"
about: "a busy hour with a server fault, while a control service sends settings: sound, bad, torn, old, huge, in storms"
length: 20s
traffic: rate: 200/s
control: services: 2
troubles: [
  {at: 300ms, kind: "config", how: "good"},
  {at: 1s, kind: "config", how: "ill_formed"},
  {at: 1300ms, kind: "config", how: "harmful"},
  {at: 1600ms, kind: "config", how: "repeat"},
  {at: 2s, kind: "config", how: "good"},
  {at: 2500ms, kind: "config", how: "ill_formed"},
  {at: 2800ms, kind: "config", how: "harmful"},
  {at: 3200ms, kind: "config", how: "cut", extra: 40},
  {at: 4300ms, kind: "config", how: "older"},
  {at: 4600ms, kind: "config", how: "contradict"},
  {at: 4900ms, kind: "config", how: "harmful"},
  {at: 5200ms, kind: "config", how: "reorder"},
  {at: 5500ms, kind: "config", how: "ill_formed"},
  {at: 5800ms, kind: "config", how: "good"},
  {at: 6s, kind: "crash", for: 2s, part: 0.3},
  {at: 6500ms, kind: "config", how: "harmful"},
  {at: 7s, kind: "config", how: "storm", for: 1s, size: 300},
  {at: 9s, kind: "config", how: "huge", size: 3},
  {at: 10s, kind: "config", how: "harmful"},
  {at: 10500ms, kind: "config", how: "good"},
  {at: 10700ms, kind: "balancer_crash", for: 300ms},
  {at: 12s, kind: "config", how: "ill_formed"},
  {at: 12500ms, kind: "config", how: "harmful"},
  {at: 13s, kind: "config", how: "disagree"},
  {at: 13200ms, kind: "control_away", for: 1500ms},
  {at: 16s, kind: "config", how: "good"},
  {at: 16500ms, kind: "config", how: "endless"},
  {at: 18500ms, kind: "config", how: "harmful"},
  {at: 19s, kind: "config", how: "ill_formed"},
]
