name: "class-fail"
about: "one class is answered with errors at a third of the servers"
troubles: [
  {at: 2s, kind: "class_fail", for: 4s, part: 0.34, size: 1, class: "top-up"},
]
