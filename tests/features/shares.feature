Feature: Workspaces receive fair shares, whatever engines can do and however callers spread

  Scenario: The log shows what a workspace's share is computed from
    When a workspace floods engines that 120000 tokens a second are configured for
    Then the accountant has reported the level and the workspaces above it, once a second

  Scenario: The log shows what each workspace asked for and got, and by which level, every second
    When a workspace floods engines that 120000 tokens a second are configured for
    Then its router has reported each second what it asked for, by tier, and what it got
    And each of these reports names a level that is less than a second old

  Scenario: The logs show what a workspace asked for, what it received, and why it was refused
    Given logs of 8 s in which "a" is answered and "b" is refused half of what it asks, for two reasons
    Then the tool's worst share is that of "b", 0.5 of it, with both reasons
    And the tool reports no share of "c", which was refused nothing in one of these seconds

  Scenario Outline: All workspaces bear a loss of engines alike
    When <lost> of 4 engines are lost while "a" floods, "b" asks for slightly less than its share and "c" for slightly more
    Then over six seconds each workspace receives half of what the best served one does, or of what it asks

    Examples:
      | lost |
      | 0    |
      | 2    |
      | 3    |

  Scenario: Long prompts do not reduce a workspace's share
    When "a" floods in short prompts, and "b" and "c" ask for more than their shares, "b" in long ones
    Then over six seconds each workspace receives half of what the best served one does, or of what it asks

  # Guards against: shares were computed from waiting requests only, so that a flood of callers that
  # retried received nothing.
  Scenario Outline: Retries to fewer engines take no workspace's share away
    When of five workspaces "d" asks in prompts of <tokens> tokens, callers of each reach <reached> routers, and <routers> of 12 routers and <engines> of 8 engines are lost
    Then from 4 s after the loss on, each workspace receives 0.5 of what the best served one does, or of what it asks, in any six seconds

    Examples:
      | tokens | reached | routers | engines |
      | 12000  | 2       | 0       | 4       |
      | 3000   | 1       | 4       | 4       |

  # Guards against: with a configured capacity that is too low, shares left most of the service to
  # short prompts.
  Scenario: Engines that do more than is configured take no workspace's share away
    When a third of what engines do is configured, "d" of five workspaces asks in prompts of 12000 tokens, and 4 of 12 routers are lost
    Then from 4 s after the loss on, each workspace receives 0.5 of what the best served one does, or of what it asks, in any six seconds

  Scenario Outline: A router that is short of processor time takes no workspace's share away
    When a router that all callers of "a" reach sheds 0.97 of what it can, while "a" asks for <factor> times what "b" asks of the others
    Then over six seconds each workspace receives half of what the best served one does, or of what it asks

    Examples:
      | factor |
      | 1      |
      | 8      |

  Scenario: Requests above a share are refused without asking engines that would refuse them
    When "a" asks for fifty times its share for 6 s, beside "d" within its own
    Then engines' owners have refused less than half as often as when each request asks them
    And engines have begun 0.97 or more of what they begin when each request asks them
    And every request of "d" was begun
    And once "a" asks for slightly more than its share and engines have room, it is served soon

  # Guards against: a workspace that began to flood received several times its share before the
  # level applied to it, and nothing made that up to the others.
  Scenario Outline: A workspace that begins to flood takes no other one's share
    When one of eight workspaces suddenly asks for twenty times as much, seed <seed>
    Then in any six seconds from its beginning on, each workspace receives 0.5 of what it asks or of what the best served one does

    Examples:
      | seed |
      | 0    |
      | 1    |
      | 4    |
