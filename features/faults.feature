@linked
Feature: What always holds, under failure
  Callers read, write and send again through any entry while something fails.
  The merged history of callers, upstreams, operators and entries is checked for
  every rule, and enough requests must have been answered to mean something.

  Scenario Outline: One fault: <fault>
    When callers work for <seconds> seconds while <fault>
    Then the history keeps every promise
    And at least <share> percent of the requests were answered

    Examples:
      | fault                               | seconds | share |
      | nothing fails                       | 2       | 99    |
      | an entry is killed                  | 4       | 40    |
      | an entry freezes and thaws          | 5       | 40    |
      | an entry is replaced                | 6       | 60    |
      | the store is down                   | 5       | 95    |
      | the store is slow                   | 4       | 95    |
      | the store loses answers             | 4       | 95    |
      | the list leases lapse               | 4       | 90    |
      | an entry is cut from the store      | 4       | 90    |
      | an entry is cut from all            | 6       | 50    |
      | two entries are cut from each other | 4       | 50    |
      | operators race                      | 5       | 90    |
      | a data centre goes out and returns  | 8       | 90    |
      | an upstream is drained              | 6       | 90    |
      | an upstream is killed               | 4       | 60    |
      | an upstream straggles               | 4       | 80    |
      | an upstream fails fast              | 4       | 60    |
      | an upstream sheds                   | 4       | 80    |
      | keys are added and revoked          | 16      | 90    |

  Scenario Outline: Cold upstreams under load: <fault>
    When busy callers work for <seconds> seconds while <fault>
    Then the history keeps every promise
    And at least <share> percent of the requests were answered

    Examples:
      | fault                              | seconds | share |
      | an upstream is killed              | 5       | 60    |
      | an upstream goes cold again        | 5       | 90    |
      | a data centre goes out and returns | 8       | 90    |

  Scenario Outline: Two faults: <first> and <second>
    When callers work for <seconds> seconds while <first> and <second>
    Then the history keeps every promise
    And at least <share> percent of the requests were answered

    Examples:
      | first                      | second                             | seconds | share |
      | an entry freezes and thaws | the store is down                  | 6       | 30    |
      | an entry is killed         | an upstream is killed              | 4       | 20    |
      | an entry is cut from all   | a data centre goes out and returns | 9       | 40    |
      | the store loses answers    | operators race                     | 5       | 80    |
      | the list leases lapse      | an entry freezes and thaws         | 5       | 30    |
      | an entry is replaced       | an upstream fails fast             | 6       | 30    |

  Scenario Outline: Plain keys, while <fault>
    When callers with plain keys work for <seconds> seconds while <fault>
    Then the history keeps every promise

    Examples:
      | fault                   | seconds |
      | nothing fails           | 2       |
      | the store loses answers | 4       |
      | the store is down       | 4       |
      | an entry is killed      | 4       |
      | an entry is replaced    | 6       |
