"""Settings in protobuf text format: the schema, the loader and its checks."""

from lapiswing.settings.load import Fault, SettingsError, boxes_of, load_agent, load_boxes, load_text, router_settings

__all__ = ["Fault", "SettingsError", "boxes_of", "load_agent", "load_boxes", "load_text", "router_settings"]
